/**
 * Probes the upstreams of one group in rounds: the primary in every round, the replicas in full rounds only. The view
 * of the group receives the results.
 */
import type { GroupView } from '../upstreams/group-view.ts'

/** Every n-th round is a full one. */
const FULL_ROUND_INTERVAL = 5

/** Prober of one group. */
interface Probes {
  /**
   * Runs one round and waits for all probes to finish.
   *
   * @returns whether the round was a full one
   */
  runRound: () => Promise<boolean>
  /** Makes the next round a full one. */
  requestFullRound: () => void
}

/**
 * Creates the prober of a group.
 *
 * @param view - the group
 * @param onPrimaryAnswer - called after each successful probe of the primary
 * @returns the prober
 */
export function createProbes (view: GroupView, onPrimaryAnswer: () => void): Probes {
  let round = 0
  let fullRequested = false

  const probePrimary = async (): Promise<void> => {
    const channel = view.upstreams.get(view.leadership.primary)?.channel
    // Failures are counted by the view's `onFailure`.
    await channel?.fetchStatus().then(onPrimaryAnswer, () => {})
  }

  const probeReplicas = async (): Promise<void> => {
    const channels = view.replicaNames.map((replica) => view.upstreams.get(replica)!.channel)
    await Promise.allSettled(channels.map(async (channel) => await channel.fetchStatus()))
  }

  return {
    runRound: async () => {
      round++
      const full = round % FULL_ROUND_INTERVAL === 0 || fullRequested || view.usablePrimary === undefined
      fullRequested = false
      await Promise.allSettled([probePrimary(), full ? probeReplicas() : undefined])
      return full
    },
    requestFullRound: () => { fullRequested = true }
  }
}
