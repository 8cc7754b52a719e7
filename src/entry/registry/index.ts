/**
 * Plug-in `registry`: the rows that entry processes share. It registers this process, reads the table again and
 * again, and asks peers for their copy while the store does not answer this host.
 */
import { randomUUID } from 'node:crypto'
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { TIMED_OUT, within } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { StoreTransaction } from '../ports/index.ts'
import { watchNextHost } from './host-expiry.ts'
import { EXTENDED_LEASE_MS, LEASE_MARGIN_MS } from './lease-times.ts'
import { keepSnapshotFresh } from './snapshot-refresh.ts'
import { followersOf } from './readers.ts'
import { createSnapshotExchange } from './snapshot-exchange.ts'
import { createSnapshot, UNKNOWN_REGISTRY, type KnownHost, type RegistrySnapshot } from './snapshot.ts'
import type { Registry } from './service.ts'
import { REGISTRY_TABLE, registryKeys, type HostRow } from './types.ts'

export type { KnownHost, } from './snapshot.ts'
export type { Registry } from './service.ts'
export * from './types.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { registry: Registry }
}

/**
 * Age of the last answer of the store to a host up to which it counts as one that reads for others, in milliseconds:
 * two reads. What it has only heard itself would grow old on the way.
 */
const READING_MS = 1600
/** Age of the newest confirmation beyond which peers are asked, in milliseconds: one read has failed. */
const RELAY_AFTER_MS = 3500
/** Time between two looks at that age, in milliseconds. */
const RELAY_LOOK_MS = 700
/**
 * Time that a write has to be answered, in milliseconds: a fixed part and a multiple of what the last read took. A
 * write takes twice as long as a read. Whoever gets no answer reads what became of it, which is quicker than to wait.
 */
const WRITE_WAIT_MS = { least: 300, perRead: 5, greatest: 1500 } as const
/** Time that a stop waits for this host's row to be removed, in milliseconds; peers forget the row otherwise. */
const UNREGISTER_MS = 400
/** Time a peer has to take a nudge, in milliseconds. */
const NUDGE_MS = 600

registerPlugin({
  name: 'registry',
  needs: ['store', 'peers'],
  start: (context) => {
    const { host } = context.settings as EntrySettings
    const store = context.use('store')
    const peers = context.use('peers')
    const { logger } = context
    const self = { name: host.name, process: randomUUID() }
    const ownRow: HostRow = {
      address: host.address, port: peers.port, failureDomain: host.failureDomain, process: self.process
    }
    const listeners: Array<() => void> = []
    const lostListeners: Array<() => void> = []
    let current = UNKNOWN_REGISTRY
    let confirmedAt = -Infinity
    let storeAnswers = true
    let clockOffsets = { least: 0, most: 0 }
    let leaving = false
    /** Time that the last read took, in milliseconds. */
    let readMs = 0
    let reading: Promise<boolean> | undefined
    /** When the store last answered a read of this host, on the steady clock. */
    let readAt = -Infinity

    const takeOver = (snapshot: RegistrySnapshot): void => {
      const isOlder = snapshot.version === current.version && snapshot.askedAt < current.askedAt
      if (snapshot.version < current.version || isOlder) {
        return
      }
      const isNews = snapshot.digest !== current.digest
      current = snapshot
      if (snapshot.hosts.some(({ name, process }) => name === self.name && process === self.process)) {
        confirmedAt = Math.max(confirmedAt, snapshot.askedAt)
      }
      listeners.forEach((listener) => listener())
      if (isNews) {
        relay.changed()
      }
    }
    const noteStore = (answers: boolean, reason?: string): void => {
      if (answers !== storeAnswers) {
        storeAnswers = answers
        if (!answers) {
          lostListeners.forEach((listener) => listener())
          relay.changed()
        }
        logger.log(answers ? 'info' : 'warn', answers ? 'store.regained' : 'store.lost', {
          reason, confirmedAgeMs: Math.round(performance.now() - confirmedAt), version: current.version
        })
      }
    }
    const read = async (): Promise<boolean> => {
      const askedAt = performance.now()
      try {
        const { rows, version, nowMs } = await store.list(REGISTRY_TABLE)
        readAt = performance.now()
        readMs = readAt - askedAt
        clockOffsets = { least: nowMs - performance.now(), most: nowMs - askedAt }
        noteStore(true)
        takeOver(createSnapshot(rows, version, askedAt, current))
        return true
      } catch (thrown) {
        noteStore(false, describeThrown(thrown))
        return false
      }
    }
    const refresh = async (): Promise<boolean> => {
      reading ??= read().finally(() => { reading = undefined })
      return await reading
    }
    /** Makes sure that this process is registered; returns whether it is. */
    const register = async (): Promise<boolean> => {
      const own = current.hosts.find(({ name }) => name === self.name)
      if (current.version < 0 || leaving || own?.process === self.process) {
        return true
      }
      const key = registryKeys.host(self.name)
      const written = await store.write({
        table: REGISTRY_TABLE,
        expected: [{ key, version: own?.version ?? 0 }],
        put: [{ key, value: JSON.stringify(ownRow) }]
      })
      logger.log('info', 'registry.registered', { process: self.process, before: own?.process, written })
      return await refresh() && written
    }
    const others = (): KnownHost[] => current.liveHosts.filter(({ name }) => name !== self.name)
    /** Whether others may rely on what this host reads. */
    const isReading = (): boolean => storeAnswers && performance.now() - readAt < READING_MS
    const relay = createSnapshotExchange({ peers, logger, current: () => current, isReading, takeOver })

    /** Learns what a peer has written from that peer: 71 hosts would read the store 70 times for each change. */
    const learnFromTeller = async (name: string): Promise<void> => {
      const teller = current.liveHosts.find((host) => host.name === name)
      if (teller === undefined || !await relay.askTeller(teller)) {
        await refresh()
      }
    }
    /** Followers wait for news on behalf of all: the start of 195 hosts took 7,372 nudges to all, and 390 to these. */
    const nudged = (): KnownHost[] => followersOf(current.liveHosts).filter(({ name }) => name !== self.name)
    peers.handle('registry-nudge', async (_body, link) => {
      void learnFromTeller(link.host)
      return {}
    })
    const stopLearning = keepSnapshotFresh({
      name: self.name,
      current: () => current,
      confirmedAgeMs: () => performance.now() - confirmedAt,
      registeredMs: EXTENDED_LEASE_MS,
      relay,
      readAndRegister: async () => await refresh() && await register(),
      onError: (thrown) => logger.log('debug', 'registry.register-failed', { reason: describeThrown(thrown) })
    })
    const stopRelay = repeat(RELAY_LOOK_MS, async () => {
      if (performance.now() - current.askedAt > RELAY_AFTER_MS) {
        await relay.askSome(others())
      }
    })

    const write = async (transaction: Omit<StoreTransaction, 'table'>): Promise<boolean> => {
      const waitMs = Math.min(WRITE_WAIT_MS.greatest, WRITE_WAIT_MS.least + WRITE_WAIT_MS.perRead * readMs)
      const applied = await within(store.write({ ...transaction, table: REGISTRY_TABLE }), waitMs)
      if (applied === TIMED_OUT) {
        const reason = `no answer in ${Math.round(waitMs)} ms`
        throw new WorkswardError('PlatformUnavailable', { operation: 'write', reason })
      }
      // A read that was in progress may not show the write yet.
      await reading
      await refresh()
      return applied
    }

    /** Writes this host's row as it now is; a row that is not there is written when this process registers. */
    const writeOwnRow = async (): Promise<boolean> => {
      const own = current.hosts.find(({ name }) => name === self.name)
      if (own?.process !== self.process) {
        return false
      }
      const key = registryKeys.host(self.name)
      return await write({ expected: [{ key, version: own.version }], put: [{ key, value: JSON.stringify(ownRow) }] })
    }
    const tellStopped = async (group: string, epoch: number): Promise<void> => {
      ownRow.stopped = { ...ownRow.stopped, [group]: epoch }
      const written = await writeOwnRow()
      logger.log('info', 'registry.stop-told', { group, epoch, written })
    }
    const tellLeaving = async (): Promise<void> => {
      ownRow.leaving = true
      try {
        const written = await writeOwnRow()
        logger.log('info', 'registry.leaving', { written })
      } catch (thrown) {
        logger.log('warn', 'registry.leaving-not-told', { reason: describeThrown(thrown) })
      }
    }

    const service: Registry = {
      self,
      get current () { return current },
      confirmedAgeMs: () => performance.now() - confirmedAt,
      peers: others,
      refresh,
      write,
      tellStopped,
      onChange: (listener) => { listeners.push(listener) },
      onStoreLost: (listener) => { lostListeners.push(listener) },
      nudgePeers: () => nudged().forEach((peer) => {
        peers.ask(peer, 'registry-nudge', {}, NUDGE_MS).catch((thrown: unknown) =>
          logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) }))
      }),
      storeNowAtLeastMs: () => performance.now() + clockOffsets.least,
      storeNowAtMostMs: () => performance.now() + clockOffsets.most
    }
    const rightMs = EXTENDED_LEASE_MS + LEASE_MARGIN_MS
    const stopWatching = watchNextHost({ registry: service, peers, logger, rightMs })

    return {
      service,
      dump: () => ({ self, version: current.version, hosts: current.hosts, duty: current.promotionLease.row }),
      announceStop: () => { void tellLeaving() },
      drain: async () => {
        leaving = true
        const own = current.hosts.find(({ name }) => name === self.name)
        if (own?.process === self.process) {
          const key = registryKeys.host(self.name)
          const removing = store.write({
            table: REGISTRY_TABLE, expected: [{ key, version: own.version }], put: [], remove: [key]
          }).catch((thrown: unknown) =>
            logger.log('warn', 'registry.unregister-failed', { reason: describeThrown(thrown) }))
          await within(removing, UNREGISTER_MS)
        }
      },
      close: () => {
        stopWatching()
        stopLearning()
        stopRelay()
      }
    }
  }
})
