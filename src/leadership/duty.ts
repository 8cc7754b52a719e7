/** The duty of promoting: one host at a time, by a lease in the store with a fencing token that only rises. */
import { describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { registryKeys, type DutyRow, type Registry } from '../registry/index.ts'
import { DUTY_LEASE_MS, DUTY_REST_MS } from './consts.ts'

/** The duty as this host holds it. */
export interface HeldDuty {
  fence: number
  /** Whether enough of the lease is left to order a promotion, counted with the clock that is worst for this host. */
  mayOrder: () => boolean
}

/** Options of {@link takeDuty}. */
export interface DutyOptions {
  registry: Registry
  logger: Logger
  /** Whether a process is known to have ended. */
  hasEnded: (row: DutyRow) => Promise<boolean>
}

/**
 * Takes the duty, or keeps it.
 *
 * @param options - the registry and what is known of other processes
 * @returns the duty; undefined when another process has it
 */
export async function takeDuty ({ registry, logger, hasEnded }: DutyOptions): Promise<HeldDuty | undefined> {
  if (!await registry.refresh()) {
    return undefined
  }
  const { row, version } = registry.current.duty
  const own = row !== undefined && row.process === registry.self.process
  if (row !== undefined && !own && registry.storeNowAtLeastMs() < row.expiresMs && !await hasEnded(row)) {
    return undefined
  }
  const next: DutyRow = {
    holder: registry.self.name,
    process: registry.self.process,
    fence: own ? row.fence : (row?.fence ?? 0) + 1,
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
