/**
 * When a member that does not answer counts as suspect, and when as gone.
 *
 * Inputs: the state of the member (`live`, `suspect`, `leaving`, `gone`); whether it answers a heartbeat of this
 * process, and one of a second member; the time since it became suspect, in milliseconds.
 *
 * Rule: a live member that answers neither in {@link HEARTBEAT_TIMEOUT_MS} becomes suspect, and gone when it has not
 * refuted that in {@link REFUTATION_MS}. One that is leaving is gone at once.
 *
 * Why: a single broken link is not a failure of the other process, so a second one tries too; a process that was paused
 * for a moment can still refute. Nothing is expected from one that leaves, so there is no need to wait for it.
 */
import type { Member } from './types.ts'

/** Time in which a member must answer a heartbeat, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 400
/** Time in which a second member must report, in milliseconds: its own heartbeat and the way there and back. */
export const CONFIRMATION_TIMEOUT_MS = 2 * HEARTBEAT_TIMEOUT_MS
/** Time in which a suspect must refute before it counts as gone, in milliseconds. */
export const REFUTATION_MS = 1000

const STATE_WHEN_SILENT: Record<Member['state'], Member['state'] | undefined> = {
  live: 'suspect', suspect: undefined, leaving: 'gone', gone: undefined
}

/**
 * Decides what becomes of a member that does not answer.
 *
 * @param state - its state
 * @returns its next state, or undefined when it keeps the one it has
 */
export function stateWhenSilent (state: Member['state']): Member['state'] | undefined {
  return STATE_WHEN_SILENT[state]
}

/**
 * Decides whether a suspect counts as gone, {@link REFUTATION_MS} after it became suspect.
 *
 * @param suspect - the member as it was suspected
 * @param current - the member as it is listed
 * @returns whether it has not refuted the suspicion
 */
export function isUnrefuted (suspect: Member, current: Member | undefined): current is Member {
  return current?.state === 'suspect' && current.version === suspect.version
}
