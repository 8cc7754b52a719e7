/** The lease on promoting: one host at a time, by a row in the store, with a fencing token that only rises. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import { isRefusal } from '../../peers/refusal.ts'
import { registryKeys, type PromotionLeaseRow, type Registry } from '../registry/index.ts'
import { CLOSE_TRY_MS, PROMOTION_LEASE_MS, LEASE_REST_MS } from './consts.ts'

/** The promotion lease as this host holds it. */
interface HeldPromotionLease {
  fence: number
  /** Whether enough of the lease is left to order a promotion, counted with the clock that is worst for this host. */
  mayOrder: () => boolean
}

/** Options of {@link createPromotionLease}. */
interface PromotionLeaseOptions {
  registry: Registry
  peers: Pick<Peers, 'ask'>
  logger: Logger
}

/** The promotion lease, seen from this host. */
export interface PromotionLease {
  /** Takes the promotion lease, or keeps it; undefined when another process has it. */
  hold: () => Promise<HeldPromotionLease | undefined>
  /** Takes note that a promotion is ordered: the lease then stays here until it expires. */
  noteOrder: () => void
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
    noteOrder: () => { orderedAt = performance.now() },
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
    // Its lease ends by itself.
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
    await peers.ask(row, 'neighbour', {}, CLOSE_TRY_MS)
    return false
  } catch (thrown) {
    return isRefusal(thrown)
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
    // The answer is lost, not the write: the row itself tells.
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
    mayOrder: () => registry.storeNowAtMostMs() + LEASE_REST_MS < held.expiresMs
  }
}
