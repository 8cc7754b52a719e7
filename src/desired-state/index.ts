/** Plug-in `desiredState`: what the operator wants. Within the life of a process its version only rises. */
import { describeThrown } from '../core/errors/index.ts'
import { registerPlugin } from '../core/kernel/index.ts'
import type { DesiredState, StoreRow } from '../ports/index.ts'
import { followTable } from '../registry/follow-table.ts'
import '../registry/table-news.ts'

/** Service of the plug-in. */
export interface DesiredStateInForce {
  /** The state in force; undefined before the first one is known. */
  readonly current: DesiredState | undefined
  onChange: (listener: (state: DesiredState) => void) => void
}

declare module '../core/kernel/index.ts' {
  interface Services { desiredState: DesiredStateInForce }
}

registerPlugin({
  name: 'desiredState',
  needs: ['ports', 'store', 'registry', 'tableNews'],
  start: (context) => {
    const { desiredState: port } = context.use('ports')
    const store = context.use('store')
    const { logger } = context
    const listeners: Array<(state: DesiredState) => void> = []
    let current: DesiredState | undefined

    /** Puts a newer state in force; returns whether there was one. */
    const take = (rows: StoreRow[]): boolean => {
      const row = rows.find(({ key }) => key === port.key)
      if (row === undefined) {
        return false
      }
      try {
        const next = port.decode(row.value)
        if (current !== undefined && next.version <= current.version) {
          return false
        }
        current = next
        logger.log('info', 'desired-state.in-force', {
          version: next.version, routes: next.routes.size, rowVersion: row.version
        })
        listeners.forEach((listener) => listener(next))
        return true
      } catch (thrown) {
        logger.log('error', 'desired-state.unreadable', { rowVersion: row.version, reason: describeThrown(thrown) })
        return false
      }
    }
    const stop = followTable({
      store,
      table: port.table,
      logger,
      news: context.use('tableNews'),
      onRows: take,
      onChanges: take,
      onStoreLost: context.use('registry').onStoreLost
    })
    return {
      service: {
        get current () { return current },
        onChange: (listener) => { listeners.push(listener) }
      },
      dump: () => ({ version: current?.version, routes: current?.routes.size }),
      close: stop
    }
  }
})
