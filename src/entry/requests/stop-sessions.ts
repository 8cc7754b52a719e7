/**
 * Ends callers' sessions during a graceful shutdown. Idle sessions are closed once the load balancer has noticed the
 * shutdown, and open transactions are aborted after half of the grace period. {@link STOP_RESERVE_MS} before its end
 * the wait for the remaining sessions stops.
 */
import { pause } from '../../core/time/deadline.ts'
import type { Session } from './session.ts'

/** Time after which the load balancer has noticed the shutdown and idle sessions are closed, in milliseconds. */
const BALANCER_NOTICE_MS = 2200
/** Part of the grace period reserved for the rest of the shutdown, in milliseconds. */
const STOP_RESERVE_MS = 900
/** Idle time after which a session is closed during shutdown, in milliseconds. */
const SESSION_IDLE_MS = 150
/** Interval between checks for open sessions or transactions during shutdown, in milliseconds. */
export const STOP_POLL_MS = 50

/** The part of a session that shutdown needs. */
type StoppingSession = Pick<Session, 'inTransaction' | 'idleMs' | 'abortTransaction' | 'end'>

/** Options of {@link stopSessions}. */
interface StopOptions {
  sessions: ReadonlySet<StoppingSession>
  /** Length of the grace period, in milliseconds. */
  graceMs: number
  /** Stops accepting connections. */
  stopAccepting: () => void
  /** Waits for transactions of other hosts to finish, and ends those still open after `endMs` milliseconds. */
  drainForwarded: (endMs: number) => Promise<void>
}

/** Closes idle sessions and, after half of the grace period, aborts open transactions. */
function endIdleSessions (sessions: ReadonlySet<StoppingSession>, elapsedMs: number, graceMs: number): void {
  for (const session of sessions) {
    if (session.inTransaction && elapsedMs > graceMs / 2) {
      session.abortTransaction('this host is stopping')
    }
    if (session.idleMs > SESSION_IDLE_MS && elapsedMs > BALANCER_NOTICE_MS) {
      session.end()
    }
  }
}

/**
 * Ends sessions until none is left or the grace period is nearly over.
 *
 * @param options - the sessions and the grace period
 */
export async function stopSessions (
  { sessions, graceMs, stopAccepting, drainForwarded }: StopOptions
): Promise<void> {
  const startedAt = performance.now()
  const elapsed = (): number => performance.now() - startedAt
  const drainUntil = async (minimumMs: number): Promise<void> => {
    while (elapsed() < graceMs - STOP_RESERVE_MS && (sessions.size > 0 || elapsed() < minimumMs)) {
      endIdleSessions(sessions, elapsed(), graceMs)
      await pause(STOP_POLL_MS)
    }
  }
  await drainUntil(BALANCER_NOTICE_MS)
  // Sessions accepted just before the listener closes are still served.
  stopAccepting()
  await drainUntil(elapsed() + SESSION_IDLE_MS)
  await drainForwarded(Math.max(0, graceMs / 2 - elapsed()))
}
