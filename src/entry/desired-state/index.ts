/**
 * Plug-in `desiredState`: what the operator wants. Which version is in force? The highest that this process has read:
 * its version only rises, and a row that cannot be read changes nothing.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import type { DesiredState, StoreRow } from '../ports/index.ts'
import { followTable } from '../registry/follow-table.ts'
import '../registry/change-notifications.ts'
import '../registry/table-exchange.ts'

/** Service of the plug-in. */
export interface DesiredStateInForce {
  /** The state in force; undefined before the first one is known. */
  readonly current: DesiredState | undefined
  onChange: (listener: (state: DesiredState) => void) => void
  /**
   * Waits until a first state is known, for a bounded time.
   *
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns whether one is
   */
  known: (timeoutMs: number) => Promise<boolean>
  /**
   * Makes sure that a version or a newer one is in force here, reading the table again when it is not yet.
   *
   * @param version - the version
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns whether it is in force
   */
  reach: (version: number, timeoutMs: number) => Promise<boolean>
}

declare module '../../core/kernel/index.ts' {
  interface Services { desiredState: DesiredStateInForce }
}

registerPlugin({
  name: 'desiredState',
  dependencies: ['ports', 'store', 'registry', 'tableNews', 'tableRelay'],
  start: (context) => {
    const { desiredState: port } = context.use('ports')
    const store = context.use('store')
    const { logger } = context
    const listeners: Array<(state: DesiredState) => void> = []
    let current: DesiredState | undefined

    const isReached = (version: number): boolean => (current?.version ?? -1) >= version
    const waiters = createWaiters()

    /** Puts a newer state in force; returns whether there was one. */
    const apply = (rows: StoreRow[]): boolean => {
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
        waiters.notify()
        return true
      } catch (thrown) {
        logger.log('error', 'desired-state.unreadable', { rowVersion: row.version, reason: describeThrown(thrown) })
        return false
      }
    }
    let reread = (): void => {}
    const stop = followTable({
      store,
      table: port.table,
      logger,
      notifications: context.use('tableNews'),
      exchange: context.use('tableRelay'),
      onRows: apply,
      onChanges: apply,
      onStoreLost: context.use('registry').onStoreLost,
      onReread: (listener) => { reread = listener }
    })
    return {
      service: {
        get current () { return current },
        onChange: (listener) => { listeners.push(listener) },
        known: async (timeoutMs) => await waiters.until(() => isReached(0) || undefined, timeoutMs) ?? false,
        reach: async (version, timeoutMs) => {
          if (isReached(version)) {
            return true
          }
          reread()
          return await waiters.until(() => isReached(version) || undefined, timeoutMs) ?? false
        }
      },
      dump: () => ({ version: current?.version, routes: current?.routes.size }),
      close: stop
    }
  }
})
