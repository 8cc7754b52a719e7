/** Times of leadership, in milliseconds. */

/** Time after the end of its right at which a host breaks what is still in progress at the primary. */
export const LAPSE_SLACK_MS = 250
/** Time that statements in progress have to end when a primary is closed. */
export const CLOSING_MS = 150
/** Length of the lease on the duty of promoting; a promotion takes less than half of it. */
export const PROMOTION_LEASE_MS = 5000
/** Time between two renewals while a promoter waits for hosts to stop. */
export const LEASE_RENEW_MS = 1500
/** Least time between two questions whether a silent upstream is there. */
export const SUSPECT_MS = 250
/** Least rest of the lease with which a promotion is ordered: the order's own time limit. */
export const LEASE_REST_MS = 2000
/** Time between two looks at every group. */
export const WATCH_MS = 100
/** Distance between the hosts that may act on a need, so that the first one is usually the only one. */
export const STAGGER_MS = 120
/** Time for which a primary must be unreachable before this host acts on it. */
export const UNREACHABLE_MS = 150
/**
 * Time that an upstream has to say what it is. The question waits for a slot behind the few statements that are let
 * through to an upstream, which take up to 170 ms; opening a connection takes 12 ms.
 */
export const PROBE_MS = 300
/** Age of an answer of an upstream that needs no question whether it is reached. */
export const HEARD_MS = 300
/**
 * Peers that are asked whether they reach an upstream. Each may have to open a connection there, which takes one of its
 * slots for 12 ms: 71 at once keep an upstream of three slots from answering anything else for 0.3 s.
 */
export const REACH_ASKED = 8
/** Time that a peer has to say whether it reaches an upstream; it may have to probe it. */
export const REACH_MS = 1300
/** Time of one try to reach a peer that must stop working at a primary. */
export const CLOSE_TRY_MS = 700
/**
 * Time that a peer has to ask this host to stop working at a primary whose epoch is closed, in milliseconds; then its
 * row in the store tells that it has stopped.
 */
export const ASKED_TO_STOP_MS = 300
/** Time after which an epoch that is still closed is told by the row although a peer has asked: twice a promotion. */
export const ANSWER_LOST_MS = 2000
/** Time that a successor has to catch up with a primary that was stopped in an orderly way. */
export const CATCH_UP_MS = 1000
/** Time between two looks at a successor. */
export const SUCCESSOR_POLL_MS = 60
/** Orders to promote an upstream when answers are lost: the first may have gone out on a connection that is dead. */
export const ORDER_TRIES = 2
/** Time within which a promotion must have taken effect: four times what slow upstreams take, 600 ms. */
export const TAKE_EFFECT_MS = 2500
/** Pause of a host after it has looked at a group's need. */
export const RETRY_MS = 300
/**
 * Time for which a host leaves a group to others after a succession of its own that did not come to its end: what
 * stopped it, as a cut between it and the upstreams, may not stop the next one.
 */
export const STEP_BACK_MS = 2500
/**
 * Time for which upstreams that have missed a whole term are not promoted: those that have it may come back. Longer
 * than an upstream that has crashed takes to come back, up to 7 s.
 */
export const OUTDATED_WAIT_MS = 10_000
/** Age of the last confirmation by the store from which on peers are asked for extensions: one read has failed. */
export const EXTEND_AFTER_MS = 2100
/** Time between two looks at that age; several fit into a right. */
export const EXTEND_LOOK_MS = 600
/** Time that a peer has to grant an extension. */
export const GRANT_MS = 500
/**
 * Greatest part of the hosts that may be silent for a promoter to rely on extensions having ended: less than any
 * majority that could still grant them, also when a host knows only half of the others.
 */
export const SILENT_PART = 0.25
