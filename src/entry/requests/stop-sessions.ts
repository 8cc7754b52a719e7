/**
 * Ends callers' connections during a graceful shutdown: each one after an answer, or when it is idle. Open transactions
 * may finish for a part of the grace period. What is unanswered when the time for answers ends is answered then.
 */
import { readArrivedInput } from '../../core/time/arrived-input.ts'
import { pause } from '../../core/time/deadline.ts'
import type { CallerRequests } from './caller-requests.ts'
import type { StopTimes } from './stop-times.ts'

/** Idle time after which a connection is ended during shutdown, in milliseconds. */
const SESSION_IDLE_MS = 150
/** Interval between checks for open connections or transactions during shutdown, in milliseconds. */
export const STOP_POLL_MS = 50
const STOP_REASON = 'this host is stopping'

/** The part of a connection that shutdown needs. */
type StoppingConnection =
  Pick<CallerRequests, 'idleMs' | 'inTransaction' | 'abortTransaction' | 'endAfterAnswer' | 'endNow'>

/** Options of {@link stopSessions}. */
interface StopOptions {
  connections: ReadonlySet<StoppingConnection>
  times: StopTimes
  /** Beginning of the stop, on the monotonic clock, in milliseconds. */
  startedAt: number
  /** Stops accepting connections. */
  stopAccepting: () => void
}

function endConnection (connection: StoppingConnection, elapsedMs: number, { transactionsMs }: StopTimes): void {
  connection.endAfterAnswer()
  if (connection.inTransaction && elapsedMs > transactionsMs) {
    connection.abortTransaction(STOP_REASON)
  }
  if (connection.idleMs > SESSION_IDLE_MS) {
    connection.endNow()
  }
}

/** Waits, and then reads the requests that have arrived meanwhile. */
async function pauseAndRead (durationMs: number): Promise<void> {
  await pause(durationMs)
  await readArrivedInput()
}

/**
 * Ends all connections in the time for answers.
 *
 * @param options - the connections and the times of the stop
 */
export async function stopSessions (
  { connections, times, startedAt, stopAccepting }: StopOptions
): Promise<void> {
  const elapsed = (): number => performance.now() - startedAt
  await pauseAndRead(times.endingMs - elapsed())
  stopAccepting()
  while (connections.size > 0 && elapsed() < times.answersMs) {
    connections.forEach((connection) => endConnection(connection, elapsed(), times))
    await pauseAndRead(STOP_POLL_MS)
  }
  connections.forEach((connection) => connection.endNow())
}
