/** When the steps of a planned stop happen. */

/** Time after which the load balancer has noticed the stop, in milliseconds. */
const BALANCER_NOTICE_MS = 2200
/** Share of the grace period in which open transactions may finish. */
const TRANSACTIONS_SHARE = 1 / 2
/** Share of the grace period by which every request is answered. */
const ANSWERS_SHARE = 5 / 6
/** Share of the grace period in which answers may be written; the rest is for the exit of the process. */
const FLUSH_SHARE = 0.95

/** Times from the begin of a planned stop, in milliseconds. */
export interface StopTimes {
  /** From here on connections are ended, and no new ones are accepted. */
  endingMs: number
  /** Transactions that are still open are aborted. */
  transactionsMs: number
  /** Requests that are still unanswered are answered. */
  answersMs: number
  /** Connections are closed although their callers have not read all answers. */
  flushMs: number
}

/**
 * Plans a stop.
 *
 * @param graceMs - length of the grace period, in milliseconds
 * @returns the times of its steps
 */
export function stopTimesOf (graceMs: number): StopTimes {
  const transactionsMs = graceMs * TRANSACTIONS_SHARE
  return {
    endingMs: Math.min(BALANCER_NOTICE_MS, transactionsMs),
    transactionsMs,
    answersMs: graceMs * ANSWERS_SHARE,
    flushMs: graceMs * FLUSH_SHARE
  }
}
