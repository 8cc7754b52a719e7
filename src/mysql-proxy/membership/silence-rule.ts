/**
 * Decides the state of a member that does not answer heartbeats. A live member becomes suspect, then gone unless it
 * refutes the suspicion in time. A leaving member becomes gone at once.
 */
import type { Member } from './types.ts'

/** Time limit for the answer to a heartbeat, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 400
/** Time limit for an indirect probe through another member, in milliseconds; includes the heartbeat of that member. */
export const CONFIRMATION_TIMEOUT_MS = 2 * HEARTBEAT_TIMEOUT_MS
/** Time limit for a suspect to refute the suspicion before it becomes gone, in milliseconds. */
export const REFUTATION_TIMEOUT_MS = 1000

const STATE_AFTER_TIMEOUT: Record<Member['state'], Member['state'] | undefined> = {
  live: 'suspect', suspect: undefined, leaving: 'gone', gone: undefined
}

/**
 * Returns the next state of a member that does not answer.
 *
 * @param state - its current state
 * @returns its next state; undefined when the state does not change
 */
export function stateAfterTimeout (state: Member['state']): Member['state'] | undefined {
  return STATE_AFTER_TIMEOUT[state]
}

/**
 * Decides whether a suspect has not refuted the suspicion.
 *
 * @param suspect - the member when it became suspect
 * @param current - its current entry in the member list, if any
 * @returns whether it is still suspect in the same version
 */
export function isUnrefuted (suspect: Member, current: Member | undefined): current is Member {
  return current?.state === 'suspect' && current.version === suspect.version
}
