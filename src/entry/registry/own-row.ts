/**
 * Manages this host's row in the registry: registers the process, publishes its state, and removes the row when the
 * process stops. Writes are conditional on the row's version.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { withTimeout } from '../../core/time/deadline.ts'
import type { StorePort } from '../ports/index.ts'
import type { RegistryState } from './registry-state.ts'
import type { RegistryStore } from './registry-store.ts'
import type { Registry } from './service.ts'
import { REGISTRY_TABLE, registryKeys, type HostRow } from './types.ts'

/** Maximum wait for the removal of this host's row, in milliseconds. A row that remains is retired by a peer. */
const UNREGISTER_MS = 400

interface OwnRowOptions {
  self: { name: string, process: string }
  /** Initial content of the row. */
  row: HostRow
  store: Pick<StorePort, 'write'>
  state: Pick<RegistryState, 'current' | 'ownHost' | 'confirmedAgeMs'>
  registryStore: Pick<RegistryStore, 'refresh' | 'write' | 'writeOnly' | 'storeNowAtMostMs'>
  logger: Logger
}

/** Operations on this host's row. */
interface OwnRow extends Pick<Registry, 'publishStopped' | 'isRegistered'> {
  /** Registers this process; returns false if the attempt failed, and true if it need not be registered. */
  register: () => Promise<boolean>
  /** Publishes that this process is stopping; logs a failure. */
  publishLeaving: () => Promise<void>
  /** Removes the row and prevents a later registration; the wait is bounded. */
  unregister: () => Promise<void>
}

/**
 * Creates the operations on this host's row.
 *
 * @param options - the row and the store that holds it
 * @returns the operations
 */
export function createOwnRow ({ self, row, store, state, registryStore, logger }: OwnRowOptions): OwnRow {
  const key = registryKeys.host(self.name)
  const startedAt = performance.now()
  let isStopping = false

  /** Writes the row unless another process has replaced it; a missing row is written by `register`. */
  const updateRow = async (): Promise<boolean> => {
    const own = state.ownHost()
    if (own?.process !== self.process) {
      return false
    }
    const put = [{ key, value: JSON.stringify(row) }]
    return await registryStore.write({ expected: [{ key, version: own.version }], put })
  }
  return {
    isRegistered: () => !isStopping && state.ownHost()?.process === self.process,
    register: async () => {
      const own = state.ownHost()
      if (state.current.version < 0 || isStopping || own?.process === self.process) {
        return true
      }
      const wasRegistered = Number.isFinite(state.confirmedAgeMs())
      row.replaces = wasRegistered ? undefined : own?.version
      // Tells a common start of all hosts, which concerns processes that replace a row only (limits/common-start.ts).
      row.startedAtMs = row.replaces === undefined
        ? undefined
        : Math.ceil(registryStore.storeNowAtMostMs() - (performance.now() - startedAt))
      // After a timeout the next turn reads the table, which shows whether the row was written.
      const written = await registryStore.writeOnly({
        expected: [{ key, version: own?.version ?? 0 }],
        put: [{ key, value: JSON.stringify(row) }]
      })
      logger.log('info', 'registry.registered', {
        process: self.process, before: own?.process, capacity: row.capacity, written
      })
      return await registryStore.refresh() && written
    },
    publishStopped: async (group, epoch) => {
      row.stopped = { ...row.stopped, [group]: epoch }
      const written = await updateRow()
      logger.log('info', 'registry.stop-published', { group, epoch, written })
    },
    publishLeaving: async () => {
      row.leaving = true
      try {
        const written = await updateRow()
        logger.log('info', 'registry.leaving', { written })
      } catch (thrown) {
        logger.log('warn', 'registry.leaving-not-published', { reason: describeThrown(thrown) })
      }
    },
    unregister: async () => {
      isStopping = true
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
