/**
 * Whether a retry may be sent.
 *
 * Inputs: statements that were served, and retries so far. Rule: {@link SERVED_PER_RETRY} served statements add a
 * retry to a balance, up to {@link GREATEST_BALANCE}; a retry takes one, and is not sent when there is none.
 * Why: retries must not multiply an overload. Only what is served refills the balance: refusals grow with the overload,
 * and a budget that they refill grows with it.
 */

/** Served statements that earn a retry. */
const SERVED_PER_RETRY = 5
/** Greatest balance, and the one at the start, in retries. */
const GREATEST_BALANCE = 100

/** A balance of retries. */
export interface RetryBudget {
  /** Counts a statement that was served. Whoever takes retries for a statement counts it, and nobody else does. */
  deposit: () => void
  /**
   * Takes a retry from the balance.
   *
   * @returns whether there was one
   */
  tryWithdraw: () => boolean
  /** Retries that are left; a part of one is not enough for the next. */
  readonly balance: number
}

/**
 * Creates a budget with a full balance.
 *
 * @returns the budget
 */
export function createRetryBudget (): RetryBudget {
  const greatestServed = GREATEST_BALANCE * SERVED_PER_RETRY
  /** Served statements that no retry has used up. */
  let served = greatestServed
  return {
    deposit: () => { served = Math.min(greatestServed, served + 1) },
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
