/**
 * Probes the upstreams of one group round after round: the primary in every round, the replicas in full rounds. Owns
 * the count of rounds; what a probe returns arrives in the group's view.
 */
import type { GroupView } from '../upstreams/group-view.ts'

/** Rounds after which all upstreams are probed, not the primary alone. */
const FULL_ROUND = 5

/** Probes of one group. */
interface Probes {
  /**
   * Runs a round of probes and waits for its answers.
   *
   * @returns whether it was a full one
   */
  runRound: () => Promise<boolean>
  /** Makes the next round a full one. */
  requestFullRound: () => void
}

/**
 * Creates the probes of a group.
 *
 * @param view - the group
 * @param onPrimaryAnswer - called when the primary has answered
 * @returns the probes
 */
export function createProbes (view: GroupView, onPrimaryAnswer: () => void): Probes {
  let round = 0
  let fullRequested = false

  const probePrimary = async (): Promise<void> => {
    const channel = view.upstreams.get(view.leadership.primary)?.channel
    // A failure is counted by the view's `onFailure`.
    await channel?.fetchStatus().then(onPrimaryAnswer, () => {})
  }

  const probeReplicas = async (): Promise<void> => {
    const channels = view.replicaNames.map((replica) => view.upstreams.get(replica)!.channel)
    await Promise.allSettled(channels.map(async (channel) => await channel.fetchStatus()))
  }

  return {
    runRound: async () => {
      round++
      const full = round % FULL_ROUND === 0 || fullRequested || view.usablePrimary === undefined
      fullRequested = false
      await Promise.allSettled([probePrimary(), full ? probeReplicas() : undefined])
      return full
    },
    requestFullRound: () => { fullRequested = true }
  }
}
