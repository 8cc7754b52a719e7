/**
 * Bounds retries to a fraction of the served statements, so that they cannot multiply an overload.
 *
 * Every {@link SERVED_PER_RETRY} served statements add one retry to a balance, up to {@link MAXIMUM_BALANCE}. Refused
 * statements add nothing, since their number grows with the overload.
 */

/** Number of served statements that add one retry to the balance. */
const SERVED_PER_RETRY = 5
/** Greatest balance, which is also the initial one, in retries. */
const MAXIMUM_BALANCE = 100

/** Balance of retries. */
export interface RetryBudget {
  /** Counts a served statement. Called only by the process that would have withdrawn retries for the statement. */
  deposit: () => void
  /**
   * Withdraws a retry from the balance.
   *
   * @returns false when the balance is less than one retry
   */
  tryWithdraw: () => boolean
  /** Number of retries left; may be fractional. */
  readonly balance: number
}

/**
 * Creates a retry budget with a full balance.
 *
 * @returns the budget
 */
export function createRetryBudget (): RetryBudget {
  const maximumServed = MAXIMUM_BALANCE * SERVED_PER_RETRY
  /** Served statements that were not yet exchanged for a retry. */
  let served = maximumServed
  return {
    deposit: () => { served = Math.min(maximumServed, served + 1) },
    tryWithdraw: () => {
      if (served < SERVED_PER_RETRY) {
        return false
      }
      served -= SERVED_PER_RETRY
      return true
    },
    get balance () { return served / SERVED_PER_RETRY }
  }
}
