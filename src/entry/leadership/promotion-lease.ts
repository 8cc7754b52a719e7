/**
 * Holds the lease without which a host must not order promotions, so that one host promotes at a time. A host acquires
 * it when it has expired or its holder's process has ended; every new holder raises the fencing token, and the platform
 * rejects orders with an older token. After an order the lease is kept until it expires.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import { isConnectionRefused } from '../../peers/refusal.ts'
import { registryKeys, type PromotionLeaseRow, type Registry } from '../registry/index.ts'
import { HOST_REQUEST_TIMEOUT_MS } from './probe-times.ts'

/** Duration of the lease, in milliseconds; a promotion takes less than half of it. */
export const PROMOTION_LEASE_MS = 5000
/** Minimum remaining time of the lease for ordering a promotion, in milliseconds: the timeout of the order. */
const ORDER_TIMEOUT_MS = 2000

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
}

/** Access of this host to the promotion lease. */
export interface PromotionLease {
  /** Acquires or renews the lease; returns undefined if another process holds it. */
  acquire: () => Promise<HeldPromotionLease | undefined>
  /** Records that a promotion is ordered, after which the lease is kept until it expires. */
  recordOrder: () => void
  /** Releases the lease early, unless a promotion was ordered under it. */
  release: () => Promise<void>
}

/**
 * Creates the access to the promotion lease. Concurrent callers share one attempt to acquire it, since their writes of
 * the row would conflict.
 *
 * @param options - the registry and the links to peers
 * @returns the operations on the lease
 */
export function createPromotionLease (options: PromotionLeaseOptions): PromotionLease {
  let acquiring: Promise<HeldPromotionLease | undefined> | undefined
  let orderedAt = -Infinity
  let releasedAt = -Infinity
  const acquireOnce = async (): Promise<HeldPromotionLease | undefined> => {
    const acquiredAt = performance.now()
    const held = await acquireLease(options)
    // Another group may release the lease between its acquisition and the order.
    return held && { ...held, mayOrder: () => releasedAt < acquiredAt && held.mayOrder() }
  }
  return {
    acquire: async () => {
      acquiring ??= acquireOnce().finally(() => { acquiring = undefined })
      return await acquiring
    },
    recordOrder: () => { orderedAt = performance.now() },
    release: async () => {
      if (performance.now() - orderedAt > PROMOTION_LEASE_MS) {
        releasedAt = performance.now()
        await releaseLease(options)
      }
    }
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

/** Whether another process holds the lease, according to the last snapshot and a request to the holder. */
async function isHeldElsewhere (options: PromotionLeaseOptions): Promise<boolean> {
  const { registry } = options
  const { row } = registry.current.promotionLease
  return row !== undefined && row.process !== registry.self.process &&
    registry.storeNowAtLeastMs() < row.expiresMs && !await hasHolderEnded(row, options)
}

async function acquireLease (options: PromotionLeaseOptions): Promise<HeldPromotionLease | undefined> {
  const { registry, logger } = options
  // Checked before the refresh to limit reads of the store when many hosts want the lease at the same time.
  if (await isHeldElsewhere(options) || !await registry.refresh() || await isHeldElsewhere(options)) {
    return undefined
  }
  const { row, version } = registry.current.promotionLease
  const isRenewal = row?.process === registry.self.process
  const next: PromotionLeaseRow = {
    holder: registry.self.name,
    process: registry.self.process,
    fence: row !== undefined && isRenewal ? row.fence : (row?.fence ?? 0) + 1,
    expiresMs: registry.storeNowAtLeastMs() + PROMOTION_LEASE_MS
  }
  try {
    await registry.write({
      expected: [{ key: registryKeys.promotionLease, version }],
      put: [{ key: registryKeys.promotionLease, value: JSON.stringify(next) }]
    })
  } catch (thrown) {
    // The write may have succeeded although its answer was lost, so the row is read again.
    logger.log('warn', 'promotion-lease.answer-lost', { fence: next.fence, reason: describeThrown(thrown) })
    if (!await registry.refresh()) {
      return undefined
    }
  }
  const held = registry.current.promotionLease.row
  if (held?.process !== registry.self.process || held.expiresMs !== next.expiresMs) {
    logger.log('info', 'promotion-lease.not-taken', { holder: held?.holder, fence: held?.fence })
    return undefined
  }
  logger.log('info', 'promotion-lease.held', { fence: held.fence, before: row?.holder, renewed: isRenewal })
  return {
    fence: held.fence,
    mayOrder: () => registry.storeNowAtMostMs() + ORDER_TIMEOUT_MS < held.expiresMs
  }
}
