/**
 * Plug-in `desiredState`: follows the operator's desired state and puts the newest version in force. Versions never
 * decrease, and an unreadable row changes nothing.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import type { DesiredState, StoreRow } from '../ports/index.ts'
import { followTable } from '../registry/follow-table.ts'
import '../registry/change-notifications.ts'
import '../registry/table-exchange.ts'

export interface DesiredStateInForce {
  /** The state in force; undefined until the first one has been read. */
  readonly current: DesiredState | undefined
  /** Time since the request to the store that confirmed the state in force last, in milliseconds. */
  readonly ageMs: number
  onChange: (listener: (state: DesiredState) => void) => void
  /**
   * Waits until a first state is in force.
   *
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns whether a state is in force
   */
  waitForFirst: (timeoutMs: number) => Promise<boolean>
  /**
   * Waits until a version or a newer one is in force, and reads the table again if it is not in force yet.
   *
   * @param version - the version
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns whether it is in force
   */
  ensureVersion: (version: number, timeoutMs: number) => Promise<boolean>
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

    const isInForce = (version: number): boolean => (current?.version ?? -1) >= version
    const waiters = createWaiters()

    /** Puts the state in force if it is newer than the current one; returns whether it was. */
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
          version: next.version,
          routes: next.routes.size,
          rowVersion: row.version,
          source: follower.confirmation.source,
          ageMs: Math.round(ageMs())
        })
        listeners.forEach((listener) => listener(next))
        waiters.notify()
        return true
      } catch (thrown) {
        logger.log('error', 'desired-state.unreadable', { rowVersion: row.version, reason: describeThrown(thrown) })
        return false
      }
    }
    const ageMs = (): number => performance.now() - follower.confirmation.confirmedAt
    let requestRead = (): void => {}
    const follower = followTable({
      store,
      table: port.table,
      logger,
      notifications: context.use('tableNews'),
      exchange: context.use('tableRelay'),
      onRows: apply,
      onChanges: apply,
      registry: context.use('registry'),
      onReadRequest: (listener) => { requestRead = listener }
    })
    return {
      service: {
        get current () { return current },
        get ageMs () { return ageMs() },
        onChange: (listener) => { listeners.push(listener) },
        waitForFirst: async (timeoutMs) => await waiters.until(() => isInForce(0) || undefined, timeoutMs) ?? false,
        ensureVersion: async (version, timeoutMs) => {
          if (isInForce(version)) {
            return true
          }
          requestRead()
          return await waiters.until(() => isInForce(version) || undefined, timeoutMs) ?? false
        }
      },
      dump: () => ({ version: current?.version, routes: current?.routes.size, ageMs: ageMs() }),
      close: follower.close
    }
  }
})
