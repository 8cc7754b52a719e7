/** Timeout of requests to other processes that an operator's command causes, promotions included, in milliseconds. */
export const PEER_TIMEOUT_MS = 3000
