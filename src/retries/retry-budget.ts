/** Bounds retries to a part of the requests, so that retries cannot multiply an overload. */

/** Retries earned by each request. */
const EARNED_PER_REQUEST = 0.2
/** Retries that can be saved up. */
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
