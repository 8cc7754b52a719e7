/**
 * Asks one upstream for its status. A status that was begun after some moment is what nearly every decision needs:
 * the read index, the place a read or write reached, the age of a replica. Calls that wait at the same time share one
 * question. A second connection waits for the upstream's next change while somebody needs one.
 */
import { RequestError, describeThrown } from '../../core/errors/index.ts'
import { Deadline, pause } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { openClient, type Client, type UpstreamAccess } from '../../mysql/client.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import { callProcedure, type ProcedureName } from './procedures.ts'
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
  /** Told of every status received. */
  onStatus?: (observed: ObservedStatus) => void
  /** Told of every question that failed. */
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
  fresh: () => Promise<ObservedStatus>
  /**
   * Waits until a status satisfies a condition.
   *
   * @param condition - the condition
   * @param deadline - when to give up
   * @returns the status, or undefined when the deadline passed
   */
  waitUntil: (condition: (status: UpstreamStatus) => boolean, deadline: Deadline) => Promise<ObservedStatus | undefined>
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

/** Somebody who waits for a condition. */
interface Waiter {
  condition: (status: UpstreamStatus) => boolean
  resolve: (observed: ObservedStatus | undefined) => void
}

/**
 * Creates a channel.
 *
 * @param options - the upstream and who is told
 * @returns the channel; it connects when first used
 */
export function createStatusChannel (options: StatusChannelOptions): StatusChannel {
  const { access, dialer, timeoutMs } = options
  const waiters = new Set<Waiter>()
  const asking = createLazyClient(access, dialer, timeoutMs)
  const watching = createLazyClient(access, dialer, timeoutMs)
  let latest: ObservedStatus | undefined
  let current: Promise<ObservedStatus> | undefined
  let next: Promise<ObservedStatus> | undefined
  let questions = 0
  let watchingNow = false
  const state = { closed: false }

  const take = (status: UpstreamStatus, sentAt: number): ObservedStatus => {
    const observed = { status, sentAt }
    if (latest === undefined || sentAt >= latest.sentAt) {
      latest = observed
    }
    options.onStatus?.(observed)
    for (const waiter of waiters) {
      if (waiter.condition(status)) {
        waiters.delete(waiter)
        waiter.resolve(observed)
      }
    }
    return observed
  }

  const ask = async (): Promise<ObservedStatus> => {
    questions++
    try {
      const client = await asking.get()
      const sentAt = performance.now()
      const answer = await client.run(callProcedure('status'), timeoutMs, 'not-run')
      return take(parseStatus(answer as RowsAnswer), sentAt)
    } catch (thrown) {
      const error = toChannelError(thrown, access.name)
      options.onFailure?.(error)
      throw error
    }
  }

  const start = async (): Promise<ObservedStatus> => {
    const asked = ask()
    current = asked
    try {
      return await asked
    } finally {
      current = undefined
    }
  }

  const fresh = async (): Promise<ObservedStatus> => {
    if (current === undefined) {
      return await start()
    }
    next ??= current.then(startNext, startNext)
    return await next
  }
  const startNext = async (): Promise<ObservedStatus> => {
    next = undefined
    return await start()
  }

  const watch = async (): Promise<void> => {
    if (watchingNow) {
      return
    }
    watchingNow = true
    while (waiters.size > 0 && !state.closed) {
      try {
        const client = await watching.get()
        const { term = 0, logTerm = 0, position = 0 } = latest?.status ?? {}
        const sentAt = performance.now()
        const wait = callProcedure('wait', [term, logTerm, position, WAIT_MS])
        const answer = await client.run(wait, WAIT_MS + timeoutMs, 'not-run')
        take(parseStatus(answer as RowsAnswer), sentAt)
      } catch {
        await pause(WAIT_RETRY_MS)
      }
    }
    watchingNow = false
  }

  return {
    get latest () { return latest },
    get questions () { return questions },
    fresh,
    waitUntil: async (condition, deadline) => {
      if (latest !== undefined && condition(latest.status)) {
        return latest
      }
      return await new Promise<ObservedStatus | undefined>((resolve) => {
        const waiter: Waiter = {
          condition,
          resolve: (observed) => {
            clearTimeout(timer)
            resolve(observed)
          }
        }
        const timer = setTimeout(() => {
          waiters.delete(waiter)
          resolve(undefined)
        }, deadline.leftMs)
        waiters.add(waiter)
        void watch()
      })
    },
    command: async (name, values) => {
      const client = await asking.get()
      const sentAt = performance.now()
      const answer = await client.run(callProcedure(name, values), timeoutMs, 'may-have-run') as RowsAnswer
      const accepted = answer.rows[0]?.at(-1)?.toString() === '1'
      return { accepted, status: take(parseStatus(answer), sentAt).status }
    },
    close: () => {
      state.closed = true
      waiters.forEach((waiter) => waiter.resolve(undefined))
      waiters.clear()
      asking.close()
      watching.close()
    }
  }
}

/** Opens a connection when first needed, and again after it broke. */
interface LazyClient {
  get: () => Promise<Client>
  close: () => void
}

function createLazyClient (access: UpstreamAccess, dialer: Dialer, timeoutMs: number): LazyClient {
  let opening: Promise<Client> | undefined
  let client: Client | undefined
  let closed = false
  return {
    get: async () => {
      if (client?.usable === true) {
        return client
      }
      opening ??= openClient({ access, dialer, connectTimeoutMs: timeoutMs }).finally(() => { opening = undefined })
      client = await opening
      if (closed) {
        client.close()
      }
      return client
    },
    close: () => {
      closed = true
      client?.close()
    }
  }
}

function toChannelError (thrown: unknown, upstream: string): RequestError {
  return thrown instanceof RequestError
    ? thrown
    : new RequestError('not-run', 'ConnectionLost', { upstream, reason: describeThrown(thrown) })
}
