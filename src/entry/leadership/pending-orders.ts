/**
 * Orders to promote that may still take effect, according to the group's row and to what this failover knows of its own
 * orders. An epoch must not be open while such an order may make another upstream the primary.
 */
import { ownValue } from '../../core/own-value.ts'
import type { GroupRow, Registry } from '../registry/index.ts'

/**
 * Returns the orders of a row that may still take effect.
 *
 * @param orders - latest effects by upstream, on the store's clock
 * @param nowMs - lower bound of the store's time
 * @returns these orders; undefined without any
 */
export function pendingOrders (orders: GroupRow['orders'], nowMs: number): GroupRow['orders'] {
  const pending = Object.entries(orders ?? {}).filter(([, untilMs]) => nowMs < untilMs)
  return pending.length === 0 ? undefined : Object.fromEntries(pending)
}

/** Options of {@link createPendingOrders}. */
interface PendingOrdersOptions {
  group: string
  registry: Pick<Registry, 'current' | 'storeNowAtLeastMs'>
}

/**
 * Orders to promote the upstreams of a group. An order is pending until its latest effect has passed. It counts as
 * ordered after that, too, since it may have taken effect, unless this failover has seen all that it did.
 */
export interface PendingOrders {
  /** Upstreams whose orders may take effect or may have done so. */
  ordered: () => string[]
  /**
   * Latest effect of the orders for an upstream, on the store's clock, in milliseconds; -Infinity without orders, and
   * after all that they did was seen.
   */
  untilMs: (upstream: string) => number
  /** Replaces the latest effect of the orders for an upstream by what this failover knows of them. */
  settle: (upstream: string, untilMs: number) => void
  /** Whether an order for another upstream than this one may still take effect. */
  pendingExcept: (upstream: string) => boolean
  /** The orders that may still take effect, for the group's row; undefined without any. */
  remaining: () => GroupRow['orders']
}

/**
 * Creates the view of a group's orders for one failover.
 *
 * @param options - the group and its row
 * @returns the orders
 */
export function createPendingOrders ({ group, registry }: PendingOrdersOptions): PendingOrders {
  const settled = new Map<string, number>()
  const untilMs = (upstream: string): number =>
    settled.get(upstream) ?? ownValue(registry.current.group(group).row?.orders ?? {}, upstream) ?? -Infinity
  const ordered = (): string[] => Object.keys(registry.current.group(group).row?.orders ?? {})
    .filter((upstream) => untilMs(upstream) > -Infinity)
  const remaining = (): GroupRow['orders'] =>
    pendingOrders(Object.fromEntries(ordered().map((name) => [name, untilMs(name)])), registry.storeNowAtLeastMs())
  return {
    ordered,
    untilMs,
    settle: (upstream, latestMs) => { settled.set(upstream, latestMs) },
    pendingExcept: (upstream) => Object.keys(remaining() ?? {}).some((other) => other !== upstream),
    remaining
  }
}
