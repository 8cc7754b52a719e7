/**
 * Decides which host may order promotions, and until when.
 *
 * - Inputs: the lease's row in the store, bounds of the store's clock (milliseconds), whether the holder is alive.
 * - Rule: a host takes the lease for {@link PROMOTION_LEASE_MS} when it has expired, or its holder's process has ended.
 *   Each new holder raises the fencing token. It orders a promotion only with {@link ORDER_MS} left, counted with the
 *   bound of the clock that is worst for it. Once it has ordered one, the lease is not released early.
 * - Why: one promoter at a time; the platform rejects orders with an old fencing token.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import { isConnectionRefused } from '../../peers/refusal.ts'
import { registryKeys, type PromotionLeaseRow, type Registry } from '../registry/index.ts'
import { REACH_HOST_MS } from './probe-times.ts'

/** Length of the lease, in milliseconds: a promotion takes less than half of it. */
export const PROMOTION_LEASE_MS = 5000
/** Least time left of the lease with which a promotion is ordered, in milliseconds: the order's own timeout. */
const ORDER_MS = 2000

/** The promotion lease as this host holds it. */
interface HeldPromotionLease {
  fence: number
  /** Whether enough of the lease is left to order a promotion, counted with the clock that is worst for this host. */
  mayOrder: () => boolean
}

/** Options of {@link createPromotionLease}. */
interface PromotionLeaseOptions {
  registry: Registry
  peers: Pick<Peers, 'requestOrDisconnect'>
  logger: Logger
}

/** The promotion lease, seen from this host. */
export interface PromotionLease {
  /** Takes the promotion lease, or keeps it; undefined when another process has it. */
  hold: () => Promise<HeldPromotionLease | undefined>
  /** Records that a promotion is ordered: the lease is then kept until it expires. */
  recordOrder: () => void
  /** Gives the promotion lease up before it expires, unless a promotion was ordered within it. */
  release: () => Promise<void>
}

/**
 * Creates the access to the promotion lease. Groups that need it at the same moment share one try, or they would
 * contradict each other.
 *
 * @param options - the registry and the links to peers
 * @returns the way to it
 */
export function createPromotionLease (options: PromotionLeaseOptions): PromotionLease {
  let taking: Promise<HeldPromotionLease | undefined> | undefined
  let orderedAt = -Infinity
  let releasedAt = -Infinity
  const take = async (): Promise<HeldPromotionLease | undefined> => {
    const takenAt = performance.now()
    const held = await takeLease(options)
    // Another group may release the promotion lease between its taking and the order that follows.
    return held && { ...held, mayOrder: () => releasedAt < takenAt && held.mayOrder() }
  }
  return {
    hold: async () => {
      taking ??= take().finally(() => { taking = undefined })
      return await taking
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

/** Ends the lease of this process in the row, so that another host need not wait for its end. */
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
    // The lease expires by itself.
    logger.log('warn', 'promotion-lease.answer-lost', { fence: row.fence, reason: describeThrown(thrown) })
  }
}

/** Whether the process that holds the promotion lease is known to have ended. */
async function hasEnded (
  { holder, process }: PromotionLeaseRow, { registry, peers }: PromotionLeaseOptions
): Promise<boolean> {
  const row = registry.current.hosts.find(({ name }) => name === holder)
  if (row === undefined || row.process !== process) {
    return true
  }
  try {
    await peers.requestOrDisconnect(row, 'neighbour', {}, REACH_HOST_MS)
    return false
  } catch (thrown) {
    return isConnectionRefused(thrown)
  }
}

/** Whether another process has the promotion lease, as far as this host knows. */
async function isHeldElsewhere (options: PromotionLeaseOptions): Promise<boolean> {
  const { registry } = options
  const { row } = registry.current.promotionLease
  return row !== undefined && row.process !== registry.self.process &&
    registry.storeNowAtLeastMs() < row.expiresMs && !await hasEnded(row, options)
}

async function takeLease (options: PromotionLeaseOptions): Promise<HeldPromotionLease | undefined> {
  const { registry, logger } = options
  // Dozens of hosts may want the promotion lease at the same time; only one that may have it reads the store.
  if (await isHeldElsewhere(options) || !await registry.refresh() || await isHeldElsewhere(options)) {
    return undefined
  }
  const { row, version } = registry.current.promotionLease
  const own = row?.process === registry.self.process
  const next: PromotionLeaseRow = {
    holder: registry.self.name,
    process: registry.self.process,
    fence: row !== undefined && own ? row.fence : (row?.fence ?? 0) + 1,
    expiresMs: registry.storeNowAtLeastMs() + PROMOTION_LEASE_MS
  }
  try {
    await registry.write({
      expected: [{ key: registryKeys.promotionLease, version }],
      put: [{ key: registryKeys.promotionLease, value: JSON.stringify(next) }]
    })
  } catch (thrown) {
    // The answer is lost, perhaps not the write: the row shows which.
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
  logger.log('info', 'promotion-lease.held', { fence: held.fence, before: row?.holder, renewed: own })
  return {
    fence: held.fence,
    mayOrder: () => registry.storeNowAtMostMs() + ORDER_MS < held.expiresMs
  }
}
