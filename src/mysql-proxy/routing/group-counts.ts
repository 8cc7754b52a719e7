/** Counts of what a home did for a group, for metrics and dumps. */

/** Counts of one group at one home. */
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
 * Creates counts.
 *
 * @returns the counts, all zero
 */
export function createGroupCounts (): GroupCounts {
  return { readsOnReplicas: 0, readsOnPrimary: 0, writes: 0, replays: 0, retries: 0, refused: 0, transactions: 0 }
}

/**
 * Adds counts up.
 *
 * @param all - the counts
 * @returns their sum
 */
export function sumCounts (all: GroupCounts[]): GroupCounts {
  const sum = createGroupCounts()
  for (const counts of all) {
    (Object.keys(sum) as Array<keyof GroupCounts>).forEach((name) => { sum[name] += counts[name] })
  }
  return sum
}
