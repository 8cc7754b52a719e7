/** Counters of the requests that a home served for a group, for metrics and dumps. */

/** Counters of one group at one home. */
export interface GroupCounts {
  readsOnReplicas: number
  readsOnPrimary: number
  writes: number
  replays: number
  retries: number
  refused: number
  transactions: number
}

/**
 * Creates counters that start at zero.
 *
 * @returns the counters
 */
export function createGroupCounts (): GroupCounts {
  return { readsOnReplicas: 0, readsOnPrimary: 0, writes: 0, replays: 0, retries: 0, refused: 0, transactions: 0 }
}

/**
 * Sums counters by name.
 *
 * @param all - counters of several groups
 * @returns the sums
 */
export function sumCounts (all: GroupCounts[]): GroupCounts {
  const sum = createGroupCounts()
  for (const counts of all) {
    (Object.keys(sum) as Array<keyof GroupCounts>).forEach((name) => { sum[name] += counts[name] })
  }
  return sum
}
