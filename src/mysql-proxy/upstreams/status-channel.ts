/**
 * Asks one upstream for its status. A status that was begun after some moment is what nearly every decision needs:
 * the read index, the place a read or write reached, the age of a replica. Calls that wait at the same time share one
 * question. A second connection waits for the upstream's next change (a long poll) while a request needs one. Owns both
 * connections.
 */
import { RequestError, describeThrown } from '../../core/errors/index.ts'
import { pause, type Deadline } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { UpstreamAccess } from '../../mysql/client.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import { createLazyClient } from './lazy-client.ts'
import { callProcedure, type ProcedureName } from './procedures.ts'
import { createSharedQuestion } from './shared-question.ts'
import { createStatusWaiters, type StatusCondition } from './status-waiters.ts'
import { parseStatus, type UpstreamStatus } from './status.ts'

/** A status and when it was asked for. */
export interface ObservedStatus {
  status: UpstreamStatus
  /** When the question was sent, in milliseconds of the monotonic clock. */
  sentAt: number
}

/** Options of {@link createStatusChannel}. */
interface StatusChannelOptions {
  access: UpstreamAccess
  dialer: Dialer
  /** Time one question may take, in milliseconds. */
  timeoutMs: number
  /** Called with every status received. */
  onStatus?: (observed: ObservedStatus) => void
  /** Called with every question that failed. */
  onFailure?: (error: RequestError) => void
}

/** Asks one upstream. */
export interface StatusChannel {
  /** The newest status received. */
  readonly latest: ObservedStatus | undefined
  /** Questions sent so far, shared ones counted once. */
  readonly questions: number
  /**
   * Asks with a question sent after this call.
   *
   * @returns the status
   * @throws RequestError when the upstream does not answer in time
   */
  fetchStatus: () => Promise<ObservedStatus>
  /**
   * Waits until a status satisfies a condition.
   *
   * @param condition - the condition
   * @param deadline - when to give up
   * @returns the status, or undefined when the deadline passed
   */
  waitUntil: (condition: StatusCondition, deadline: Deadline) => Promise<ObservedStatus | undefined>
  /**
   * Calls a procedure that answers with a status row and whether it was accepted.
   *
   * @param name - the procedure
   * @param values - its arguments
   * @returns the status after the call
   */
  command: (name: ProcedureName, values: Array<string | number>) => Promise<CommandResult>
  /** Closes the connections. */
  close: () => void
}

/** What a fencing, promoting or following call returned. */
interface CommandResult {
  accepted: boolean
  status: UpstreamStatus
}

/** Time one wait for a change may last, in milliseconds. */
const WAIT_MS = 1000
/** Pause before a failed wait is repeated, in milliseconds. */
const WAIT_RETRY_MS = 20

/**
 * Creates a channel.
 *
 * @param options - the upstream, and what is called with statuses and failures
 * @returns the channel; it connects when first used
 */
export function createStatusChannel (options: StatusChannelOptions): StatusChannel {
  const { access, dialer, timeoutMs } = options
  const waiters = createStatusWaiters<ObservedStatus>()
  const asking = createLazyClient(access, dialer, timeoutMs)
  const watching = createLazyClient(access, dialer, timeoutMs)
  const state = { closed: false, watching: false, questions: 0 }
  let latest: ObservedStatus | undefined

  const record = (status: UpstreamStatus, sentAt: number): ObservedStatus => {
    const observed = { status, sentAt }
    if (latest === undefined || sentAt >= latest.sentAt) {
      latest = observed
    }
    options.onStatus?.(observed)
    waiters.offer(observed)
    return observed
  }

  const ask = async (): Promise<ObservedStatus> => {
    state.questions++
    try {
      const client = await asking.get()
      const sentAt = performance.now()
      const answer = await client.run(callProcedure('status'), timeoutMs, 'not-run')
      return record(parseStatus(answer as RowsAnswer), sentAt)
    } catch (thrown) {
      const error = toChannelError(thrown, access.name)
      options.onFailure?.(error)
      throw error
    }
  }

  const waitForChange = async (): Promise<void> => {
    const client = await watching.get()
    const { term = 0, logTerm = 0, position = 0 } = latest?.status ?? {}
    const sentAt = performance.now()
    const wait = callProcedure('wait', [term, logTerm, position, WAIT_MS])
    const answer = await client.run(wait, WAIT_MS + timeoutMs, 'not-run')
    record(parseStatus(answer as RowsAnswer), sentAt)
  }

  const watch = async (): Promise<void> => {
    if (state.watching) {
      return
    }
    state.watching = true
    while (waiters.size > 0 && !state.closed) {
      // A failed wait is repeated until its waiters give up; status questions report that the upstream is silent.
      await waitForChange().catch(async () => await pause(WAIT_RETRY_MS))
    }
    state.watching = false
  }

  return {
    get latest () { return latest },
    get questions () { return state.questions },
    fetchStatus: createSharedQuestion(ask),
    waitUntil: async (condition, deadline) => {
      if (latest !== undefined && condition(latest.status)) {
        return latest
      }
      const waiting = waiters.wait(condition, deadline)
      void watch()
      return await waiting
    },
    command: async (name, values) => {
      const client = await asking.get()
      const sentAt = performance.now()
      const answer = await client.run(callProcedure(name, values), timeoutMs, 'may-have-run') as RowsAnswer
      const accepted = answer.rows[0]?.at(-1)?.toString() === '1'
      return { accepted, status: record(parseStatus(answer), sentAt).status }
    },
    close: () => {
      state.closed = true
      waiters.close()
      asking.close()
      watching.close()
    }
  }
}

function toChannelError (thrown: unknown, upstream: string): RequestError {
  return thrown instanceof RequestError
    ? thrown
    : new RequestError('not-run', 'ConnectionLost', { upstream, reason: describeThrown(thrown) })
}
