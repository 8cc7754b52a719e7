/** Writes the row of a group during a failover. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { registryKeys, type GroupRow, type Registry } from '../registry/index.ts'
import type { Candidate } from './choose-successor.ts'
import type { PendingOrders } from './pending-orders.ts'

/** Options of the writes. */
export interface RowOptions {
  group: string
  registry: Registry
  logger: Logger
}

/** A new primary, and the orders that may still take effect, which are none for other upstreams. */
export interface Promoted extends Candidate {
  orders: PendingOrders
}

/**
 * Writes the row of a group.
 *
 * @param options - the group
 * @param version - version of the row that is replaced
 * @param step - the step of the failover, for the log
 * @param row - the new row
 * @returns the current row, also if the answer to the write was lost
 */
export async function writeRow (
  { group, registry, logger }: RowOptions, version: number, step: 'close' | 'open', row: GroupRow
): Promise<GroupRow | undefined> {
  const key = registryKeys.group(group)
  try {
    await registry.write({ expected: [{ key, version }], put: [{ key, value: JSON.stringify(row) }] })
  } catch (thrown) {
    logger.log('warn', 'failover.answer-lost', { group, step, reason: describeThrown(thrown) })
    await registry.refresh()
  }
  return registry.current.group(group).row
}

/**
 * Opens the next epoch with a new primary, unless an order for another upstream may still take effect. So the orders in
 * an open row are for its own primary, and one for another upstream in a closed row was recorded after the closing.
 *
 * @param options - the group
 * @param promoted - the new primary, and the orders of the group
 * @param failoverId - failover that wrote the row last
 * @param seenVersion - version that the row must still have; any by default
 * @returns the primary, or undefined if the row does not show the epoch as open
 */
export async function openEpoch (
  options: RowOptions, { upstream, report, orders }: Promoted, failoverId: string, seenVersion?: number
): Promise<string | undefined> {
  const { group, registry, logger } = options
  await registry.refresh()
  const { row, version } = registry.current.group(group)
  const hasChanged = row?.succession !== failoverId || (seenVersion ?? version) !== version
  if (hasChanged || orders.pendingExcept(upstream.upstream)) {
    return undefined
  }
  const written = await writeRow(options, version, 'open', {
    epoch: row.epoch + 1,
    primary: upstream.upstream,
    primaryBornAt: upstream.bornAt,
    state: 'open',
    term: report.term,
    writtenBy: registry.self.name,
    succession: '',
    orders: orders.remaining()
  })
  registry.requestPeerRefresh()
  const isOpen = written?.state === 'open' && written.primary === upstream.upstream && written.epoch > row.epoch
  logger.log(isOpen ? 'info' : 'warn', isOpen ? 'failover.done' : 'failover.not-opened', {
    group, upstream: upstream.upstream, primary: written?.primary, epoch: written?.epoch, term: written?.term
  })
  return isOpen ? written.primary : undefined
}
