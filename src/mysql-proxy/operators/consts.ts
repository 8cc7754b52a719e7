/** What several modules of the operators' part share. */

/**
 * Time in which another process must answer a request made for an operator, in milliseconds; a promotion counts too.
 */
export const PEER_TIMEOUT_MS = 3000
