/** Deadlines and timeouts, on the monotonic clock. */
import { RequestError, type Verdict } from '../errors/index.ts'
import { startInputTimer } from './arrived-input.ts'

/** A point in time by which a request must finish. */
export class Deadline {
  /** Total time granted, in milliseconds. */
  readonly grantedMs: number
  private expiresAt: number

  constructor (grantedMs: number) {
    this.grantedMs = grantedMs
    this.expiresAt = performance.now() + grantedMs
  }

  /** Remaining time, in milliseconds; never negative. */
  get leftMs (): number {
    return Math.max(0, this.expiresAt - performance.now())
  }

  /** Whether the deadline has passed. */
  get passed (): boolean {
    return this.leftMs === 0
  }

  /** Makes the deadline pass now. Waits that have begun keep their time. */
  expire (): void {
    this.expiresAt = Math.min(this.expiresAt, performance.now())
  }

  /**
   * Throws if the deadline has passed.
   *
   * @param verdict - verdict of the error
   * @param stage - activity named in the message
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
   * @param verdict - verdict of the error
   * @param stage - activity named in the message
   * @returns the error
   */
  exceeded (verdict: Verdict, stage: string): RequestError {
    return new RequestError(verdict, 'DeadlineExceeded', { deadlineMs: Math.round(this.grantedMs), stage })
  }

  /**
   * Waits for a promise until the deadline.
   *
   * @param pending - the promise
   * @param verdict - verdict of the error on timeout
   * @param stage - activity named in the message
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

/** Returned by {@link withTimeout} on timeout. */
export const TIMED_OUT = Symbol('timed out')

/**
 * Waits for a promise with a timeout. A result whose input has arrived by then is read first; a later one is ignored.
 *
 * @param pending - the promise
 * @param timeoutMs - timeout, in milliseconds
 * @returns the result, or {@link TIMED_OUT}
 */
export async function withTimeout<Result> (
  pending: Promise<Result>, timeoutMs: number
): Promise<Result | typeof TIMED_OUT> {
  return await new Promise((resolve, reject) => {
    const cancel = startInputTimer(() => resolve(TIMED_OUT), timeoutMs)
    // A failure after the timeout is handled here as well, and has no effect.
    pending.then((result) => {
      cancel()
      resolve(result)
    }, (thrown: unknown) => {
      cancel()
      reject(thrown)
    })
  })
}

/**
 * Waits for a duration.
 *
 * @param durationMs - duration, in milliseconds
 */
export async function pause (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}
