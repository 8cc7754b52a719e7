/**
 * Queries the status of one upstream. Concurrent callers share a query (`shared-query.ts`). While requests wait for a
 * condition on the status, a second connection long-polls the upstream for changes.
 */
import { RequestError, describeThrown } from '../../core/errors/index.ts'
import { pause, type Deadline } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { UpstreamAccess } from '../../mysql/client.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import { createLazyClient } from './lazy-client.ts'
import { callProcedure, type ProcedureName } from './procedures.ts'
import { createSharedQuery } from './shared-query.ts'
import { createStatusWaiters, type StatusCondition } from './status-waiters.ts'
import { parseStatus, type UpstreamStatus } from './status.ts'

/** Status of an upstream and the time of its query. */
export interface ObservedStatus {
  status: UpstreamStatus
  /** When the query was sent, in milliseconds of the monotonic clock. */
  sentAt: number
}

/** Options of {@link createStatusChannel}. */
interface StatusChannelOptions {
  access: UpstreamAccess
  dialer: Dialer
  /** Timeout of a query, in milliseconds. */
  timeoutMs: number
  /** Called after every received status. */
  onStatus?: (observed: ObservedStatus) => void
  /** Called after every failed status query. */
  onFailure?: (error: RequestError) => void
}

/** Status queries and commands to one upstream. */
export interface StatusChannel {
  /** Received status with the latest query time. */
  readonly latest: ObservedStatus | undefined
  /** Number of status queries sent; a shared query counts once. */
  readonly queriesSent: number
  /**
   * Queries the status; the query is sent after this call.
   *
   * @returns the status
   * @throws RequestError when the query fails or times out
   */
  fetchStatus: () => Promise<ObservedStatus>
  /**
   * Waits until a status satisfies a condition.
   *
   * @param condition - the condition
   * @param deadline - limits the wait
   * @returns the status; undefined when the deadline passed or the channel was closed
   */
  waitUntil: (condition: StatusCondition, deadline: Deadline) => Promise<ObservedStatus | undefined>
  /**
   * Calls a procedure that returns a status row with a trailing column for acceptance.
   *
   * @param name - the operation
   * @param values - arguments of the procedure
   * @returns whether the call was accepted, and the status after it
   */
  command: (name: ProcedureName, values: Array<string | number>) => Promise<CommandResult>
  /** Closes the connections and resolves pending waits with undefined. */
  close: () => void
}

/** Result of a procedure that changes the upstream's state, such as `fence`, `promote` or `follow`. */
interface CommandResult {
  accepted: boolean
  status: UpstreamStatus
}

/** Maximum duration of one long poll, in milliseconds. */
const LONG_POLL_MS = 1000
/** Delay before a failed long poll is retried, in milliseconds. */
const LONG_POLL_RETRY_MS = 20

/**
 * Creates a status channel.
 *
 * @param options - the upstream, timeout and callbacks
 * @returns the channel; it connects on first use
 */
export function createStatusChannel (options: StatusChannelOptions): StatusChannel {
  const { access, dialer, timeoutMs } = options
  const waiters = createStatusWaiters<ObservedStatus>()
  const queryClient = createLazyClient(access, dialer, timeoutMs)
  const pollClient = createLazyClient(access, dialer, timeoutMs)
  const state = { closed: false, polling: false, queriesSent: 0 }
  let latest: ObservedStatus | undefined

  const record = (status: UpstreamStatus, sentAt: number): ObservedStatus => {
    const observed = { status, sentAt }
    if (latest === undefined || sentAt >= latest.sentAt) {
      latest = observed
    }
    options.onStatus?.(observed)
    waiters.notify(observed)
    return observed
  }

  const query = async (): Promise<ObservedStatus> => {
    state.queriesSent++
    try {
      const client = await queryClient.get()
      const sentAt = performance.now()
      const answer = await client.run(callProcedure('status'), timeoutMs, 'not-run')
      return record(parseStatus(answer as RowsAnswer), sentAt)
    } catch (thrown) {
      const error = toChannelError(thrown, access.name)
      options.onFailure?.(error)
      throw error
    }
  }

  const longPoll = async (): Promise<void> => {
    const client = await pollClient.get()
    const { term = 0, logTerm = 0, position = 0 } = latest?.status ?? {}
    const sentAt = performance.now()
    const call = callProcedure('wait', [term, logTerm, position, LONG_POLL_MS])
    const answer = await client.run(call, LONG_POLL_MS + timeoutMs, 'not-run')
    record(parseStatus(answer as RowsAnswer), sentAt)
  }

  const pollWhileWaiting = async (): Promise<void> => {
    if (state.polling) {
      return
    }
    state.polling = true
    while (waiters.size > 0 && !state.closed) {
      // Failures are not reported here: status queries detect that the upstream is unreachable.
      await longPoll().catch(async () => await pause(LONG_POLL_RETRY_MS))
    }
    state.polling = false
  }

  return {
    get latest () { return latest },
    get queriesSent () { return state.queriesSent },
    fetchStatus: createSharedQuery(query),
    waitUntil: async (condition, deadline) => {
      if (latest !== undefined && condition(latest.status)) {
        return latest
      }
      const waiting = waiters.wait(condition, deadline)
      void pollWhileWaiting()
      return await waiting
    },
    command: async (name, values) => {
      const client = await queryClient.get()
      const sentAt = performance.now()
      const answer = await client.run(callProcedure(name, values), timeoutMs, 'may-have-run') as RowsAnswer
      const accepted = answer.rows[0]?.at(-1)?.toString() === '1'
      return { accepted, status: record(parseStatus(answer), sentAt).status }
    },
    close: () => {
      state.closed = true
      waiters.close()
      queryClient.close()
      pollClient.close()
    }
  }
}

function toChannelError (thrown: unknown, upstream: string): RequestError {
  return thrown instanceof RequestError
    ? thrown
    : new RequestError('not-run', 'ConnectionLost', { upstream, reason: describeThrown(thrown) })
}
