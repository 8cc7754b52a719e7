/** The duty of promoting: one host at a time, by a lease in the store with a fencing token that only rises. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import { isRefusal } from '../../peers/refusal.ts'
import { registryKeys, type DutyRow, type Registry } from '../registry/index.ts'
import { CLOSE_TRY_MS, DUTY_LEASE_MS, DUTY_REST_MS } from './consts.ts'

/** The duty as this host holds it. */
interface HeldDuty {
  fence: number
  /** Whether enough of the lease is left to order a promotion, counted with the clock that is worst for this host. */
  mayOrder: () => boolean
}

/** Options of {@link createDuty}. */
interface DutyOptions {
  registry: Registry
  peers: Pick<Peers, 'ask'>
  logger: Logger
}

/** The way to the duty. */
export interface Duty {
  /** Takes the duty, or keeps it; undefined when another process has it. */
  hold: () => Promise<HeldDuty | undefined>
  /** Takes note that a promotion is ordered: the duty then stays here until its lease ends. */
  noteOrder: () => void
  /** Leaves the duty to others before its lease ends, unless a promotion was ordered within it. */
  release: () => Promise<void>
}

/**
 * Creates the way to the duty. Groups that need it at the same moment share one try, or they would contradict each
 * other.
 *
 * @param options - the registry and the links to peers
 * @returns the way to it
 */
export function createDuty (options: DutyOptions): Duty {
  let taking: Promise<HeldDuty | undefined> | undefined
  let orderedAt = -Infinity
  let releasedAt = -Infinity
  const take = async (): Promise<HeldDuty | undefined> => {
    const takenAt = performance.now()
    const held = await takeDuty(options)
    // Another group may release the duty between its taking and the order that follows.
    return held && { ...held, mayOrder: () => releasedAt < takenAt && held.mayOrder() }
  }
  return {
    hold: async () => {
      taking ??= take().finally(() => { taking = undefined })
      return await taking
    },
    noteOrder: () => { orderedAt = performance.now() },
    release: async () => {
      if (performance.now() - orderedAt > DUTY_LEASE_MS) {
        releasedAt = performance.now()
        await releaseDuty(options)
      }
    }
  }
}

/** Ends the lease of this process in the row, so that another host need not wait for its end. */
async function releaseDuty ({ registry, logger }: DutyOptions): Promise<void> {
  const { row, version } = registry.current.duty
  if (row?.process !== registry.self.process) {
    return
  }
  const ended: DutyRow = { ...row, expiresMs: registry.storeNowAtLeastMs() }
  const key = registryKeys.duty
  try {
    const written = await registry.write({ expected: [{ key, version }], put: [{ key, value: JSON.stringify(ended) }] })
    logger.log('info', 'duty.released', { fence: row.fence, written })
  } catch (thrown) {
    // Its lease ends by itself.
    logger.log('warn', 'duty.answer-lost', { fence: row.fence, reason: describeThrown(thrown) })
  }
}

/** Whether the process that holds the duty is known to have ended. */
async function hasEnded ({ holder, process }: DutyRow, { registry, peers }: DutyOptions): Promise<boolean> {
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

/** Whether another process has the duty, as far as this host knows. */
async function isHeldElsewhere (options: DutyOptions): Promise<boolean> {
  const { registry } = options
  const { row } = registry.current.duty
  return row !== undefined && row.process !== registry.self.process &&
    registry.storeNowAtLeastMs() < row.expiresMs && !await hasEnded(row, options)
}

async function takeDuty (options: DutyOptions): Promise<HeldDuty | undefined> {
  const { registry, logger } = options
  // Dozens of hosts may want the duty at the same time; only one that may have it reads the store.
  if (await isHeldElsewhere(options) || !await registry.refresh() || await isHeldElsewhere(options)) {
    return undefined
  }
  const { row, version } = registry.current.duty
  const own = row?.process === registry.self.process
  const next: DutyRow = {
    holder: registry.self.name,
    process: registry.self.process,
    fence: row !== undefined && own ? row.fence : (row?.fence ?? 0) + 1,
    expiresMs: registry.storeNowAtLeastMs() + DUTY_LEASE_MS
  }
  try {
    await registry.write({
      expected: [{ key: registryKeys.duty, version }], put: [{ key: registryKeys.duty, value: JSON.stringify(next) }]
    })
  } catch (thrown) {
    // The answer is lost, not the write: the row itself tells.
    logger.log('warn', 'duty.answer-lost', { fence: next.fence, reason: describeThrown(thrown) })
    if (!await registry.refresh()) {
      return undefined
    }
  }
  const held = registry.current.duty.row
  if (held?.process !== registry.self.process || held.expiresMs !== next.expiresMs) {
    logger.log('info', 'duty.not-taken', { holder: held?.holder, fence: held?.fence })
    return undefined
  }
  logger.log('info', 'duty.held', { fence: held.fence, before: row?.holder, renewed: own })
  return {
    fence: held.fence,
    mayOrder: () => registry.storeNowAtMostMs() + DUTY_REST_MS < held.expiresMs
  }
}
