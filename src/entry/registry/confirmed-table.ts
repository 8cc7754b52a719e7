/** Offers a followed table to the registry, which confirms it together with its snapshot. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { createCatchUp } from './catch-up.ts'
import type { FollowedTable } from './followed-table.ts'
import type { ConfirmedTable } from './table-confirmations.ts'
import type { createSideReads } from './table-side-reads.ts'

interface ConfirmedTableOptions {
  table: string
  logger: Logger
  followed: FollowedTable
  catchUp: ReturnType<typeof createCatchUp>
  sideReads: Pick<ReturnType<typeof createSideReads>, 'confirm'>
}

/**
 * Creates the table as the registry sees it.
 *
 * @param options - the copy, what other hosts have told of it, and the way to confirm it
 * @returns the table
 */
export function createConfirmedTable (
  { table, logger, followed, catchUp, sideReads }: ConfirmedTableOptions
): ConfirmedTable {
  return {
    confirmedAt: () => followed.confirmation.confirmedAt,
    describe: () => {
      const { changedVersion, confirmation: { confirmedAt } } = followed
      return changedVersion === undefined || catchUp.isBehind() || !Number.isFinite(confirmedAt)
        ? undefined
        : { version: changedVersion, confirmedAt }
    },
    hear: (version, confirmedAt, peer) => {
      catchUp.learn(version, peer)
      if (followed.copy.version !== undefined && !catchUp.isBehind()) {
        followed.confirm({ confirmedAt, source: peer })
      }
    },
    confirm: async () => {
      try {
        await sideReads.confirm()
      } catch (thrown) {
        logger.log('debug', 'feed.not-confirmed', { table, reason: describeThrown(thrown) })
      }
    }
  }
}
