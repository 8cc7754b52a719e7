/**
 * Plug-in `registry`: registers this process in the store, keeps a current snapshot of the registry's table, and
 * publishes this host's state to its peers. README.md describes the modules.
 */
import { randomUUID } from 'node:crypto'
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import { watchNextHost } from './host-expiry.ts'
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS } from './lease-times.ts'
import { reportOwnCapacity } from './own-capacity.ts'
import { createOwnRow } from './own-row.ts'
import { createRefreshRequests } from './refresh-requests.ts'
import { createRegistryState } from './registry-state.ts'
import { createRegistryStore } from './registry-store.ts'
import { createRetirements } from './retirements.ts'
import type { Registry } from './service.ts'
import { createSnapshotExchange } from './snapshot-exchange.ts'
import { keepSnapshotFresh } from './snapshot-refresh.ts'
import { createTableConfirmations } from './table-confirmations.ts'

export type { KnownHost } from './snapshot.ts'
export type { RowStanding } from './row-standing.ts'
export type { Registry } from './service.ts'
export * from './types.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { registry: Registry }
}

/** Age of the snapshot after which any peers are asked for theirs, in milliseconds. */
const ASK_PEERS_AFTER_MS = 3500
/** Interval between checks of the snapshot's age, in milliseconds. */
const AGE_CHECK_MS = 700

registerPlugin({
  name: 'registry',
  dependencies: ['store', 'peers', 'metrics'],
  start: (context) => {
    const { host } = context.settings as EntrySettings
    const store = context.use('store')
    const peers = context.use('peers')
    const { logger } = context
    const self = { name: host.name, process: randomUUID(), capacity: reportOwnCapacity(host, context.use('metrics')) }
    const { address, failureDomain } = host
    const row = { address, port: peers.port, failureDomain, process: self.process, capacity: self.capacity }
    const answerPendingRequests = (): void => exchange.answerPending()
    const state = createRegistryState({ self, onRowsChanged: answerPendingRequests })
    const registryStore = createRegistryStore({ store, state, logger, onUnavailable: answerPendingRequests })
    const { refresh, isReading } = registryStore
    const ownRow = createOwnRow({ self, row, store, state, registryStore, logger })
    const tables = createTableConfirmations()
    const exchange = createSnapshotExchange({
      peers, logger, current: () => state.current, isReading, accept: state.accept, tables
    })
    const requestPeerRefresh = createRefreshRequests({ self, peers, state, exchange, refresh, logger })
    const stopRefreshing = keepSnapshotFresh({
      name: self.name,
      current: () => state.current,
      confirmedAgeMs: state.confirmedAgeMs,
      registeredMs: EXTENDED_LEASE_MS,
      exchange,
      tablesAgeMs: () => tables.ageMs,
      readAndRegister: async () => {
        const hasRead = await refresh()
        if (hasRead) {
          // Not waited for, because a hanging request must not delay the registration or the next read.
          void tables.confirm()
        }
        return hasRead && await ownRow.register()
      },
      onError: (thrown) => logger.log('debug', 'registry.register-failed', { reason: describeThrown(thrown) })
    })
    // The exchange logs the peers that do not answer.
    const stopAskingPeers = repeat(AGE_CHECK_MS, async () => {
      if (performance.now() - state.current.askedAt > ASK_PEERS_AFTER_MS) {
        await exchange.requestFromSome(state.otherHosts())
      }
    })
    const leaseMs = EXTENDED_LEASE_MS + LEASE_MARGIN_MS
    const retirements = createRetirements(leaseMs)
    state.onChange(() => retirements.record(state.current.hosts))
    const service: Registry = {
      self,
      get current () { return state.current },
      confirmedAgeMs: state.confirmedAgeMs,
      isRegistered: ownRow.isRegistered,
      rowStanding: state.rowStanding,
      peers: state.otherHosts,
      haveLeasesExpired: retirements.haveLeasesExpired,
      refresh,
      write: registryStore.write,
      publishStopped: ownRow.publishStopped,
      onChange: state.onChange,
      onStoreUnavailable: registryStore.onStoreUnavailable,
      requestPeerRefresh,
      followTable: tables.add,
      onTableChanged: answerPendingRequests,
      storeNowAtLeastMs: registryStore.storeNowAtLeastMs,
      storeNowAtMostMs: registryStore.storeNowAtMostMs
    }
    const stopHostExpiry = watchNextHost({ registry: service, peers, logger, leaseMs })

    return {
      service,
      dump: () => ({
        self, version: state.current.version, hosts: state.current.hosts, duty: state.current.promotionLease.row
      }),
      announceStop: () => { void ownRow.publishLeaving() },
      drain: ownRow.unregister,
      close: () => {
        stopHostExpiry()
        stopRefreshing()
        stopAskingPeers()
      }
    }
  }
})
