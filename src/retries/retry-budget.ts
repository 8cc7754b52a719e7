/**
 * Whether a retry may be sent.
 *
 * Inputs: requests and retries so far. Rule: each request adds {@link EARNED_PER_REQUEST} of a retry to a balance, up
 * to {@link GREATEST_BALANCE}; a retry takes one, and is not sent when there is none. Why: retries must not multiply an
 * overload.
 */

/** Retries that each request adds to the balance; chosen, not measured. */
const EARNED_PER_REQUEST = 0.2
/** Greatest balance, and the one at the start, in retries; chosen, not measured. */
const GREATEST_BALANCE = 100

/** A balance of retries. */
export interface RetryBudget {
  /** Counts a request. */
  earn: () => void
  /**
   * Takes a retry from the balance.
   *
   * @returns whether there was one
   */
  spend: () => boolean
  readonly balance: number
}

/**
 * Creates a budget with a full balance.
 *
 * @returns the budget
 */
export function createRetryBudget (): RetryBudget {
  let balance = GREATEST_BALANCE
  return {
    earn: () => { balance = Math.min(GREATEST_BALANCE, balance + EARNED_PER_REQUEST) },
    spend: () => {
      if (balance < 1) {
        return false
      }
      balance--
      return true
    },
    get balance () { return balance }
  }
}
