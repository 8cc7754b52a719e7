/** Plug-in `directory`: follows the directory's table and notifies listeners of changes to the upstreams. */
import { registerPlugin } from '../../core/kernel/index.ts'
import { startAlignedInterval } from '../../core/time/aligned-interval.ts'
import type { StoreRow } from '../ports/index.ts'
import { CHANGE_BATCH_MS, followTable } from '../registry/follow-table.ts'
import '../registry/change-notifications.ts'
import '../registry/table-exchange.ts'
import { createUpstreamDirectory, type DirectoryChange, type UpstreamDirectory } from './upstream-directory.ts'

export type { KnownUpstream } from './upstream-directory.ts'

export interface Directory extends Pick<UpstreamDirectory, 'get' | 'ofGroup' | 'all'> {
  /** Whether an upstream certainly has no row any more; false while it may only have expired during an outage. */
  isGone: (upstream: string) => boolean
  onChange: (listener: (change: DirectoryChange) => void) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { directory: Directory }
}

/** Interval between checks for upstreams whose row has been missing too long, in milliseconds. */
const EXPIRY_CHECK_MS = 500

registerPlugin({
  name: 'directory',
  dependencies: ['ports', 'store', 'registry', 'tableNews', 'tableRelay'],
  start: (context) => {
    const { directory: port } = context.use('ports')
    const store = context.use('store')
    const directory = createUpstreamDirectory()
    const listeners: Array<(change: DirectoryChange) => void> = []

    const decodeRows = (rows: StoreRow[]) => rows.flatMap((row) => {
      const entry = port.decode(row)
      if (entry === undefined) {
        context.logger.log('warn', 'directory.unreadable', { upstream: row.key })
        return []
      }
      return [entry]
    })
    const notify = (changes: DirectoryChange[]): void => changes.forEach((change) => {
      const { upstream, group, draining, claimsPrimary } = change.upstream
      context.logger.log('info', 'directory.changed', { upstream, group, change: change.change, draining, claimsPrimary })
      listeners.forEach((listener) => listener(change))
    })
    let requestRead = (): void => {}
    const unchangedUntil = (): number | undefined => {
      const { confirmedAt } = follower.confirmation
      return Number.isFinite(confirmedAt) ? confirmedAt : undefined
    }
    const follower = followTable({
      store,
      table: port.table,
      logger: context.logger,
      notifications: context.use('tableNews'),
      exchange: context.use('tableRelay'),
      onRows: (rows) => {
        const changes = directory.replace(decodeRows(rows), unchangedUntil())
        notify(changes)
        notify(directory.expire())
        return changes.length > 0
      },
      onChanges: (changed, removed) => notify(directory.update(decodeRows(changed), removed, unchangedUntil())),
      registry: context.use('registry'),
      batchMs: CHANGE_BATCH_MS,
      onReadRequest: (listener) => { requestRead = listener }
    })
    /** Removal of an upstream requires another read of the table, which confirms that its row is still missing. */
    const stopExpiryCheck = startAlignedInterval(() => {
      if (directory.hasExpired()) {
        requestRead()
      }
    }, EXPIRY_CHECK_MS)
    return {
      service: {
        get: directory.get,
        ofGroup: directory.ofGroup,
        all: directory.all,
        isGone: (upstream) => directory.isGone(upstream, follower.confirmation.confirmedAt),
        onChange: (listener) => { listeners.push(listener) }
      },
      dump: () => ({ upstreams: directory.all() }),
      close: () => {
        stopExpiryCheck()
        follower.close()
      }
    }
  }
})
