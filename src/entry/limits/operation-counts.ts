/** Counts the operations of limits on this host, by outcome. */

/**
 * Outcomes: granted by an owner, used by a request (some of them after they waited for a turn), expired or returned
 * without use, and refused.
 */
const OUTCOMES = ['granted', 'used', 'waited', 'expired', 'returned', 'refused'] as const

/** One of {@link OUTCOMES}. */
export type OperationOutcome = typeof OUTCOMES[number]

/** Counts of operations. */
interface OperationCounts {
  count: (outcome: OperationOutcome, operations: number) => void
  read: () => Record<OperationOutcome, number>
}

/**
 * Creates the counts, all zero.
 *
 * @returns the counts
 */
export function createOperationCounts (): OperationCounts {
  const counts = Object.fromEntries(OUTCOMES.map((outcome) => [outcome, 0])) as Record<OperationOutcome, number>
  return {
    count: (outcome, operations) => { counts[outcome] += operations },
    read: () => ({ ...counts })
  }
}
