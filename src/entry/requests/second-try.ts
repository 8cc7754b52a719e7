/**
 * Decides whether a read that is late at its upstream is tried at another one. Designed for single upstreams that are
 * silent or several times slower than expected; under a load that fills all of them there is no free capacity and no
 * second try. Asked at the checks of `pass-on.ts`, so it needs no timer.
 */
import type { KnownUpstream } from '../directory/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { chooseReadUpstream, type ReadChoice } from './choose-upstream.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** A read is late after so many times its expected duration. */
const LATE_FACTOR = 4

/** Services needed for the decision. */
type SecondTryContext = Parameters<typeof chooseReadUpstream>[0] & Pick<EntryContext, 'retryBudget'>

/** A read that waits for the answer to its first attempt. */
export interface WaitingRead {
  scope: RequestScope
  /** Upstream that it was sent to. */
  target: KnownUpstream
  /** Position that an upstream must have reached. */
  position: LogPosition
  /** Time since it was sent, in milliseconds. */
  elapsedMs: number
}

/**
 * Decides whether a waiting read is tried at another upstream. If so, a retry has been withdrawn from the budget, which
 * `scope.retryWithdrawn` records, and the slow attempt counts for the judgement of its upstream.
 *
 * @param context - services of the entry process
 * @param read - the read
 * @returns true if its first attempt is to be abandoned
 */
export function shouldTryElsewhere (
  context: SecondTryContext, { scope, target, position, elapsedMs }: WaitingRead
): boolean {
  if (scope.attempts !== 1 || elapsedMs < scope.costMs * LATE_FACTOR) {
    return false
  }
  const other = chooseReadUpstream(context, scope, position, new Set([target.upstream]))
  if (other === undefined || !hasFreeCapacity(context, scope, other) || !context.retryBudget.tryWithdraw()) {
    return false
  }
  scope.retryWithdrawn = true
  const { health } = context.pools.of(target)
  health.recordLatency(elapsedMs)
  health.outcomes.record({ ranMs: elapsedMs, costMs: scope.costMs, failed: false })
  return true
}

/** Whether an upstream would start a read at once and is likely to answer it in time. */
function hasFreeCapacity (
  { homes }: SecondTryContext, { priority, costMs, deadline }: RequestScope,
  { target: { upstream, slots }, resources: { health, queue }, home }: ReadChoice
): boolean {
  const waitMs = home === undefined ? 0 : homes.waitAt(home, upstream, priority)
  return !health.avoided && !health.lagging && !health.isSilent && waitMs === 0 && queue.waiting === 0 &&
    queue.running + homes.inProgressAt(upstream) < slots && deadline.leftMs > Math.max(costMs, health.latencyMs) * 2
}
