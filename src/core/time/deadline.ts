/** Deadlines on the monotonic clock of the runtime. */
import { RequestError, type Verdict } from '../errors/index.ts'

/** A point in time by which something must be done. */
export class Deadline {
  /** Time granted in all, in milliseconds. */
  readonly grantedMs: number
  private readonly at: number

  constructor (grantedMs: number) {
    this.grantedMs = grantedMs
    this.at = performance.now() + grantedMs
  }

  /** Time left, in milliseconds; never negative. */
  get leftMs (): number {
    return Math.max(0, this.at - performance.now())
  }

  /** Whether no time is left. */
  get passed (): boolean {
    return this.leftMs === 0
  }

  /**
   * Fails once the deadline has passed.
   *
   * @param verdict - what is known of the request
   * @param stage - what was being done
   * @throws RequestError `DeadlineExceeded`
   */
  check (verdict: Verdict, stage: string): void {
    if (this.passed) {
      throw this.exceeded(verdict, stage)
    }
  }

  /**
   * Builds the error for a passed deadline.
   *
   * @param verdict - what is known of the request
   * @param stage - what was being done
   * @returns the error
   */
  exceeded (verdict: Verdict, stage: string): RequestError {
    return new RequestError(verdict, 'DeadlineExceeded', { deadlineMs: Math.round(this.grantedMs), stage })
  }

  /**
   * Waits for a result until the deadline.
   *
   * @param pending - the result
   * @param verdict - what is known of the request if it takes too long
   * @param stage - what is being done
   * @returns the result
   * @throws RequestError `DeadlineExceeded`, or what `pending` rejects with
   */
  async race<Result> (pending: Promise<Result>, verdict: Verdict, stage: string): Promise<Result> {
    const value = await withTimeout(pending, this.leftMs)
    if (value === TIMED_OUT) {
      throw this.exceeded(verdict, stage)
    }
    return value
  }
}

/** Returned by {@link withTimeout} when time ran out. */
export const TIMED_OUT = Symbol('timed out')

/**
 * Waits for a result for a bounded time. A result that comes later is ignored.
 *
 * @param pending - the result
 * @param timeoutMs - greatest wait, in milliseconds
 * @returns the result, or {@link TIMED_OUT}
 */
export async function withTimeout<Result> (
  pending: Promise<Result>, timeoutMs: number
): Promise<Result | typeof TIMED_OUT> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<typeof TIMED_OUT>((resolve) => {
    timer = setTimeout(() => resolve(TIMED_OUT), timeoutMs)
  })
  try {
    return await Promise.race([pending, timeout])
  } finally {
    clearTimeout(timer)
    // A failure in time was thrown by the race; the caller no longer waits for one that comes later.
    pending.catch(() => {})
  }
}

/**
 * Pauses for a time.
 *
 * @param durationMs - the time, in milliseconds
 */
export async function pause (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}
