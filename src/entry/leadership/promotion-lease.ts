/**
 * Holds the lease without which a host must not order promotions, so that one host promotes at a time. Every new holder
 * raises the fencing token, but the platform may not check it, so no order may be sent after the lease has passed on:
 * an order is recorded in the group's row together with the renewal of the lease, under the versions of both rows. The
 * lease passes on when it has expired, or earlier if its holder's process has ended and no recorded order can be on its
 * way. After an order it is kept until it expires.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { ownValue } from '../../core/own-value.ts'
import type { Peers } from '../../peers/index.ts'
import { isConnectionRefused } from '../../peers/refusal.ts'
import { registryKeys, type GroupRow, type PromotionLeaseRow, type Registry } from '../registry/index.ts'
import { HOST_REQUEST_TIMEOUT_MS } from './probe-times.ts'

/** Duration of the lease, in milliseconds; it is renewed while a failover waits. */
export const PROMOTION_LEASE_MS = 5000
/** Minimum remaining time of the lease for ordering a promotion, in milliseconds: the timeout of the order. */
const ORDER_TIMEOUT_MS = 2000
/**
 * Time within which the platform carries out an order that it has taken, in milliseconds. A call ends with its
 * connection reset before the lease under which it was sent expires, so nothing is taken later than that.
 */
export const ORDER_EFFECT_MS = 5000

/** An order to promote, as recorded before it is sent. */
interface IntendedOrder {
  group: string
  upstream: string
  /** Failover that orders it; the record fails if another failover has taken the group over. */
  failoverId: string
}

interface HeldPromotionLease {
  fence: number
  /** Whether enough of the lease remains to order a promotion, by the latest time that the store's clock may show. */
  mayOrder: () => boolean
}

/** Options of {@link createPromotionLease}. */
interface PromotionLeaseOptions {
  registry: Registry
  peers: Pick<Peers, 'requestOrDisconnect'>
  logger: Logger
  /** Whether this process gives no more orders, because it stops. */
  isClosed?: () => boolean
}

/** Access of this host to the promotion lease. */
export interface PromotionLease {
  /** Acquires or renews the lease; returns undefined if another process holds it. */
  acquire: () => Promise<HeldPromotionLease | undefined>
  /** Acquires or renews the lease, and records an order in the same write; returns undefined if either fails. */
  acquireToOrder: (order: IntendedOrder) => Promise<HeldPromotionLease | undefined>
  /** Records that a promotion is ordered, after which the lease is kept until it expires. */
  recordOrder: () => void
  /** Whether another process holds the lease and seems to have ended. */
  seemsAbandoned: () => Promise<boolean>
  /** Releases the lease early, unless a promotion was ordered under it. */
  release: () => Promise<void>
}

/**
 * Creates the access to the promotion lease. Its writes take turns, since they would conflict; concurrent callers share
 * one attempt to acquire it.
 *
 * @param options - the registry and the links to peers
 * @returns the operations on the lease
 */
export function createPromotionLease (options: PromotionLeaseOptions): PromotionLease {
  const { isClosed = () => false } = options
  const takeTurn = createTurns()
  let acquiring: Promise<HeldPromotionLease | undefined> | undefined
  let orderedAt = -Infinity
  let releasedAt = -Infinity
  const acquireOnce = async (order?: IntendedOrder): Promise<HeldPromotionLease | undefined> => {
    const acquiredAt = performance.now()
    const held = isClosed() ? undefined : await acquireLease(options, order)
    // Another group may release the lease between its acquisition and the order.
    return held && { ...held, mayOrder: () => !isClosed() && releasedAt < acquiredAt && held.mayOrder() }
  }
  return {
    acquire: async () => {
      acquiring ??= takeTurn(acquireOnce).finally(() => { acquiring = undefined })
      return await acquiring
    },
    acquireToOrder: async (order) => {
      orderedAt = performance.now()
      return await takeTurn(async () => await acquireOnce(order))
    },
    recordOrder: () => { orderedAt = performance.now() },
    seemsAbandoned: async () => {
      const { row } = options.registry.current.promotionLease
      return row !== undefined && row.process !== options.registry.self.process && await hasHolderEnded(row, options)
    },
    release: async () => await takeTurn(async () => {
      if (performance.now() - orderedAt > PROMOTION_LEASE_MS) {
        releasedAt = performance.now()
        await releaseLease(options)
      }
    })
  }
}

/** Creates a function that runs tasks one after the other. */
function createTurns (): <Value>(task: () => Promise<Value>) => Promise<Value> {
  let last: Promise<unknown> = Promise.resolve()
  return async (task) => {
    const turn = last.then(async () => await task())
    last = turn.catch(() => {})
    return await turn
  }
}

/** Sets the expiry in the row to now, so that another host can acquire the lease at once. */
async function releaseLease ({ registry, logger }: PromotionLeaseOptions): Promise<void> {
  const { row, version } = registry.current.promotionLease
  if (row?.process !== registry.self.process) {
    return
  }
  const ended: PromotionLeaseRow = { ...row, expiresMs: registry.storeNowAtLeastMs() }
  const key = registryKeys.promotionLease
  try {
    const written = await registry.write({ expected: [{ key, version }], put: [{ key, value: JSON.stringify(ended) }] })
    logger.log('info', 'promotion-lease.released', { fence: row.fence, written })
  } catch (thrown) {
    // If the write was lost, the lease expires on its own.
    logger.log('warn', 'promotion-lease.answer-lost', { fence: row.fence, reason: describeThrown(thrown) })
  }
}

/** Whether the process that holds the lease is known to have ended. */
async function hasHolderEnded (
  { holder, process }: PromotionLeaseRow, { registry, peers }: PromotionLeaseOptions
): Promise<boolean> {
  const row = registry.current.hosts.find(({ name }) => name === holder)
  if (row === undefined || row.process !== process) {
    return true
  }
  try {
    await peers.requestOrDisconnect(row, 'neighbour', {}, HOST_REQUEST_TIMEOUT_MS)
    return false
  } catch (thrown) {
    return isConnectionRefused(thrown)
  }
}

/**
 * Whether another process holds the lease, according to the last snapshot and a request to the holder. A holder that
 * seems to have ended may still run, and an order of an ended one may be on its way: only a holder without a recorded
 * order is passed over, since its next record fails on the version of the row.
 */
async function isHeldElsewhere (options: PromotionLeaseOptions): Promise<boolean> {
  const { registry } = options
  const { row } = registry.current.promotionLease
  const now = registry.storeNowAtLeastMs()
  if (row === undefined || row.process === registry.self.process || now >= row.expiresMs) {
    return false
  }
  return now < (row.orderedUntilMs ?? -Infinity) || !await hasHolderEnded(row, options)
}

/** Returns the group's row with an order recorded; undefined if another failover has taken the group over. */
function recordOf (
  { group, upstream, failoverId }: IntendedOrder, { current }: Registry, leaseExpiresMs: number
): { key: string, version: number, untilMs: number, value: string } | undefined {
  const { row, version } = current.group(group)
  if (row?.succession !== failoverId) {
    return undefined
  }
  const untilMs = Math.max(ownValue(row.orders ?? {}, upstream) ?? -Infinity, leaseExpiresMs + ORDER_EFFECT_MS)
  const value = JSON.stringify({ ...row, orders: { ...row.orders, [upstream]: untilMs } } satisfies GroupRow)
  return { key: registryKeys.group(group), version, untilMs, value }
}

async function acquireLease (
  options: PromotionLeaseOptions, order?: IntendedOrder
): Promise<HeldPromotionLease | undefined> {
  const { registry, logger } = options
  // Checked before the refresh to limit reads of the store when many hosts want the lease at the same time.
  if (await isHeldElsewhere(options) || !await registry.refresh() || await isHeldElsewhere(options)) {
    return undefined
  }
  const { row, version } = registry.current.promotionLease
  const next = nextLease(registry, order !== undefined)
  const record = order && recordOf(order, registry, next.expiresMs)
  if (order !== undefined && record === undefined) {
    return undefined
  }
  const rows = [{ key: registryKeys.promotionLease, version, value: JSON.stringify(next) }, ...record ? [record] : []]
  try {
    await registry.write({
      expected: rows.map(({ key, version }) => ({ key, version })), put: rows.map(({ key, value }) => ({ key, value }))
    })
  } catch (thrown) {
    // The write may have succeeded although its answer was lost, so the rows are read again.
    logger.log('warn', 'promotion-lease.answer-lost', { fence: next.fence, reason: describeThrown(thrown) })
    if (!await registry.refresh()) {
      return undefined
    }
  }
  const held = registry.current.promotionLease.row
  const isHeld = held?.process === registry.self.process && held.expiresMs === next.expiresMs
  if (!isHeld || !isRecorded(registry, order, record)) {
    logger.log('info', 'promotion-lease.not-taken', { holder: held?.holder, fence: held?.fence })
    return undefined
  }
  logger.log('info', 'promotion-lease.held', {
    fence: held.fence, before: row?.holder, renewed: row?.process === held.process, ordering: order?.upstream
  })
  return {
    fence: held.fence,
    mayOrder: () => registry.storeNowAtMostMs() + ORDER_TIMEOUT_MS < held.expiresMs
  }
}

/** Whether the group's row shows the record of an order; true without an order. */
function isRecorded ({ current }: Registry, order?: IntendedOrder, record?: { untilMs: number }): boolean {
  if (order === undefined) {
    return true
  }
  const { row } = current.group(order.group)
  return row?.succession === order.failoverId && ownValue(row.orders ?? {}, order.upstream) === record?.untilMs
}

/** Returns the row of the lease with this host as its holder. */
function nextLease (registry: Registry, ordering: boolean): PromotionLeaseRow {
  const { row } = registry.current.promotionLease
  const own = row?.process === registry.self.process ? row : undefined
  const expiresMs = registry.storeNowAtLeastMs() + PROMOTION_LEASE_MS
  const orderedUntilMs = ordering ? expiresMs : own?.orderedUntilMs
  return {
    holder: registry.self.name,
    process: registry.self.process,
    fence: own?.fence ?? (row?.fence ?? 0) + 1,
    expiresMs,
    ...orderedUntilMs !== undefined && { orderedUntilMs }
  }
}
