/**
 * This host's row in the registry: registers the process, publishes what others must know of it, and removes the row
 * when the process stops. It owns the row's content; the store decides by the row's version whether a write applies.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { withTimeout } from '../../core/time/deadline.ts'
import type { StorePort } from '../ports/index.ts'
import type { RegistryState } from './registry-state.ts'
import type { RegistryStore } from './registry-store.ts'
import type { Registry } from './service.ts'
import { REGISTRY_TABLE, registryKeys, type HostRow } from './types.ts'

/** Time that a stop waits for this host's row to be removed, in milliseconds. Peers retire the row otherwise. */
const UNREGISTER_MS = 400

/** Options of {@link createOwnRow}. */
interface OwnRowOptions {
  self: { name: string, process: string }
  /** The row as it is written first. */
  row: HostRow
  store: Pick<StorePort, 'write'>
  state: Pick<RegistryState, 'current' | 'ownHost'>
  registryStore: Pick<RegistryStore, 'refresh' | 'write'>
  logger: Logger
}

/** This host's row. */
interface OwnRow extends Pick<Registry, 'publishStopped'> {
  /** Makes sure that this process is registered; returns whether it is, or need not be. */
  register: () => Promise<boolean>
  /** Publishes that this process is stopping; a failure is logged. */
  publishLeaving: () => Promise<void>
  /** Removes the row, and registers no more; waits for a bounded time. */
  unregister: () => Promise<void>
}

/**
 * Creates the access to this host's row.
 *
 * @param options - the row and where it is written
 * @returns the access
 */
export function createOwnRow ({ self, row, store, state, registryStore, logger }: OwnRowOptions): OwnRow {
  const key = registryKeys.host(self.name)
  let leaving = false

  /** Writes the row as it stands; one that is missing is written when this process registers. */
  const update = async (): Promise<boolean> => {
    const own = state.ownHost()
    if (own?.process !== self.process) {
      return false
    }
    const put = [{ key, value: JSON.stringify(row) }]
    return await registryStore.write({ expected: [{ key, version: own.version }], put })
  }
  return {
    register: async () => {
      const own = state.ownHost()
      if (state.current.version < 0 || leaving || own?.process === self.process) {
        return true
      }
      const written = await store.write({
        table: REGISTRY_TABLE,
        expected: [{ key, version: own?.version ?? 0 }],
        put: [{ key, value: JSON.stringify(row) }]
      })
      logger.log('info', 'registry.registered', { process: self.process, before: own?.process, written })
      return await registryStore.refresh() && written
    },
    publishStopped: async (group, epoch) => {
      row.stopped = { ...row.stopped, [group]: epoch }
      const written = await update()
      logger.log('info', 'registry.stop-told', { group, epoch, written })
    },
    publishLeaving: async () => {
      row.leaving = true
      try {
        const written = await update()
        logger.log('info', 'registry.leaving', { written })
      } catch (thrown) {
        logger.log('warn', 'registry.leaving-not-told', { reason: describeThrown(thrown) })
      }
    },
    unregister: async () => {
      leaving = true
      const own = state.ownHost()
      if (own?.process !== self.process) {
        return
      }
      const removing = store.write({
        table: REGISTRY_TABLE, expected: [{ key, version: own.version }], put: [], remove: [key]
      }).catch((thrown: unknown) =>
        logger.log('warn', 'registry.unregister-failed', { reason: describeThrown(thrown) }))
      await withTimeout(removing, UNREGISTER_MS)
    }
  }
}
