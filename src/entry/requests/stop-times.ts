/** When the steps of a planned stop happen. */

/** Time after which the load balancer has noticed the stop, in milliseconds. */
const BALANCER_NOTICE_MS = 2200
/** Share of the grace period in which open transactions may finish. */
const TRANSACTIONS_SHARE = 1 / 2
/**
 * Time from the last answers to the end of the grace period, in milliseconds: for writing them, giving up leases,
 * removing this host's row and closing links.
 */
const RESERVE_MS = 1000
/** Maximum share of a short grace period that the reserve may take. */
const RESERVE_SHARE = 1 / 3
/** Share of the reserve in which answers may be written. */
const FLUSH_SHARE = 0.55
/** Share of the reserve after which the process exits, whatever is still open; the rest is for the exit itself. */
const LIMIT_SHARE = 0.6

/** Times from the beginning of a planned stop, in milliseconds. */
export interface StopTimes {
  /** From here on connections are ended, and no new ones are accepted. */
  endingMs: number
  /** Transactions that are still open are aborted. */
  transactionsMs: number
  /** Requests that are still unanswered are answered. */
  answersMs: number
  /** Connections are closed although their callers have not read all answers. */
  flushMs: number
  /** The process exits. */
  limitMs: number
}

/**
 * Plans a stop.
 *
 * @param graceMs - length of the grace period, in milliseconds
 * @returns the times of its steps
 */
export function stopTimesOf (graceMs: number): StopTimes {
  const transactionsMs = graceMs * TRANSACTIONS_SHARE
  const reserveMs = Math.min(RESERVE_MS, graceMs * RESERVE_SHARE)
  const answersMs = graceMs - reserveMs
  return {
    endingMs: Math.min(BALANCER_NOTICE_MS, transactionsMs),
    transactionsMs,
    answersMs,
    flushMs: answersMs + reserveMs * FLUSH_SHARE,
    limitMs: answersMs + reserveMs * LIMIT_SHARE
  }
}
