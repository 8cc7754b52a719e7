/**
 * Ends callers' sessions during a planned stop.
 *
 * When is a session ended? Inputs, in milliseconds: the time since the order to stop, the time granted in all, how long
 * the session has been idle; and whether it is in a transaction. An idle session is ended once the balancer has noticed
 * the stop; a transaction is rolled back from half of the granted time on; {@link STOP_RESERVE_MS} before the end the
 * sessions that are left are waited for no longer.
 */
import { pause } from '../../core/time/deadline.ts'
import type { Session } from './session.ts'

/** Time after the order to stop at which idle sessions are ended, in milliseconds: the balancer has noticed by then. */
const STOP_IDLE_MS = 2200
/** Time before the kill at which sessions are waited for no longer, in milliseconds. */
const STOP_RESERVE_MS = 900
/**
 * Time without a request after which a session is ended while stopping, in milliseconds; callers send the next one
 * sooner or later.
 */
const STOP_QUIET_MS = 150
/** Time between two checks of what is left while stopping, in milliseconds. */
export const STOP_POLL_MS = 50

/** What a session shows of itself while the process stops. */
type StoppingSession = Pick<Session, 'inTransaction' | 'idleMs' | 'abortTransaction' | 'end'>

/** Options of {@link stopSessions}. */
interface StopOptions {
  sessions: ReadonlySet<StoppingSession>
  /** Time granted in all, in milliseconds. */
  graceMs: number
  /** Takes no further connections. */
  stopAccepting: () => void
  /** Ends the transactions that are open for other hosts, within a time in milliseconds. */
  drainForwarded: (endMs: number) => Promise<void>
}

/** Ends what can be ended without harm: idle sessions, and from half of the time on idle transactions too. */
function endSome (sessions: ReadonlySet<StoppingSession>, elapsedMs: number, graceMs: number): void {
  for (const session of sessions) {
    if (session.inTransaction && elapsedMs > graceMs / 2) {
      session.abortTransaction('this host is stopping')
    }
    if (session.idleMs > STOP_QUIET_MS && elapsedMs > STOP_IDLE_MS) {
      session.end()
    }
  }
}

/**
 * Ends sessions until none is left or the time is over.
 *
 * @param options - the sessions and the time
 */
export async function stopSessions (
  { sessions, graceMs, stopAccepting, drainForwarded }: StopOptions
): Promise<void> {
  const startedAt = performance.now()
  const elapsed = (): number => performance.now() - startedAt
  const emptyUntil = async (leastMs: number): Promise<void> => {
    while (elapsed() < graceMs - STOP_RESERVE_MS && (sessions.size > 0 || elapsed() < leastMs)) {
      endSome(sessions, elapsed(), graceMs)
      await pause(STOP_POLL_MS)
    }
  }
  await emptyUntil(STOP_IDLE_MS)
  // Callers that connected at the last moment are served before the process ends.
  stopAccepting()
  await emptyUntil(elapsed() + STOP_QUIET_MS)
  await drainForwarded(Math.max(0, graceMs / 2 - elapsed()))
}
