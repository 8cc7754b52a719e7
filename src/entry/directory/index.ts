/**
 * Plug-in `directory`: the upstreams that exist. Follows the directory's table and notifies listeners of each change;
 * `upstream-directory.ts` decides what rows and missing rows mean.
 */
import { registerPlugin } from '../../core/kernel/index.ts'
import type { StoreRow } from '../ports/index.ts'
import { followTable, GATHER_MS } from '../registry/follow-table.ts'
import '../registry/change-notifications.ts'
import '../registry/table-exchange.ts'
import { createUpstreamDirectory, type DirectoryChange, type UpstreamDirectory } from './upstream-directory.ts'

export type { KnownUpstream } from './upstream-directory.ts'

/** Service of the plug-in. */
export interface Directory extends Pick<UpstreamDirectory, 'get' | 'ofGroup' | 'all'> {
  onChange: (listener: (change: DirectoryChange) => void) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { directory: Directory }
}

/** Time between two checks for rows that have been missing for long, in milliseconds. */
const EXPIRY_CHECK_MS = 500

registerPlugin({
  name: 'directory',
  dependencies: ['ports', 'store', 'registry', 'tableNews', 'tableRelay'],
  start: (context) => {
    const { directory: port } = context.use('ports')
    const store = context.use('store')
    const directory = createUpstreamDirectory()
    const listeners: Array<(change: DirectoryChange) => void> = []

    const decode = (rows: StoreRow[]) => rows.flatMap((row) => {
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
    let reread = (): void => {}
    const stop = followTable({
      store,
      table: port.table,
      logger: context.logger,
      notifications: context.use('tableNews'),
      exchange: context.use('tableRelay'),
      onRows: (rows) => {
        const changes = directory.replace(decode(rows))
        notify(changes)
        notify(directory.expire())
        return changes.length > 0
      },
      onChanges: (changed, removed) => notify(directory.update(decode(changed), removed)),
      onStoreLost: context.use('registry').onStoreLost,
      gatherMs: GATHER_MS,
      onReread: (listener) => { reread = listener }
    })
    /** A missing row counts only once the table has been read again. */
    const expiryCheck = setInterval(() => {
      if (directory.awaitsExpiry()) {
        reread()
      }
    }, EXPIRY_CHECK_MS)
    return {
      service: {
        get: directory.get,
        ofGroup: directory.ofGroup,
        all: directory.all,
        onChange: (listener) => { listeners.push(listener) }
      },
      dump: () => ({ upstreams: directory.all() }),
      close: () => {
        clearInterval(expiryCheck)
        stop()
      }
    }
  }
})
