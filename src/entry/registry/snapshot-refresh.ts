/**
 * Refreshes the registry's snapshot. Readers read the store, and request the snapshot from other hosts while the store
 * rejects them. All other hosts request it from up to {@link READERS_PER_TURN} readers and backup readers, and read the
 * store only if none has a fresh one. This saves calls to the store, and keeps the leases of hosts that it rejects.
 * Whatever delays these requests, a host whose knowledge has become stale reads the store itself.
 */
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import { STALE_AFTER_MS } from '../ports/change-bound.ts'
import { createRecentFailures } from './recent-failures.ts'
import { followersOf, readersOf, registrySourcesFor } from './readers.ts'
import type { SnapshotExchange } from './snapshot-exchange.ts'
import { readWhenStale } from './stale-read.ts'
import type { KnownHost, RegistrySnapshot } from './snapshot.ts'

/** Interval between a reader's reads of the store, in milliseconds; keeps relayed snapshots younger than a lease. */
export const POLL_MS = 750
/** Pause between requests to a reader, in milliseconds. */
const REQUEST_PAUSE_MS = 150
/** Maximum age of the snapshot for which a reader may hold the request, in milliseconds. */
const MAXIMUM_LONG_POLL_AGE_MS = 1000
/** Pause after no host had a fresh snapshot, in milliseconds; lets a backup reader start to read. */
const FAILURE_PAUSE_MS = 300
/** Hosts tried in one turn. Each may be silent for 0.3 s, and all of them must fit into a lease of 3 s. */
const READERS_PER_TURN = 3
/**
 * Minimum interval between store reads by a host that is not a follower, in milliseconds. During an outage of the store
 * the followers detect its recovery. A longer interval would exceed the bound on the age of what the host decides by.
 */
const FALLBACK_READ_INTERVAL_MS = STALE_AFTER_MS
/**
 * Mean pause between store reads by a host that is not registered, in milliseconds; with the jitter of the repetition
 * it takes 56 to 94. Until all hosts have read the registry, 58 of them send 800 calls a second, of the 6,000 that the
 * store takes.
 */
const UNREGISTERED_PAUSE_MS = 75
/**
 * Time for which a host that is not registered reads that often, in milliseconds, and its mean pause afterwards. A
 * store that rejects single hosts for longer would charge for all their calls.
 */
const LONG_UNREGISTERED = { afterMs: 30_000, pauseMs: 300 } as const
/** Minimum interval between store reads by a reader or a follower, in milliseconds. */
const READ_INTERVAL_MS = POLL_MS - REQUEST_PAUSE_MS

/** Creates the function that returns the mean pause after a turn, in milliseconds. */
function createPauses (isRegistered: () => boolean): () => number {
  /** Time since when this host has not been registered, on the monotonic clock; undefined while it is. */
  let unregisteredSince: number | undefined
  return () => {
    unregisteredSince = isRegistered() ? undefined : unregisteredSince ?? performance.now()
    if (unregisteredSince === undefined) {
      return REQUEST_PAUSE_MS
    }
    const isLong = performance.now() - unregisteredSince > LONG_UNREGISTERED.afterMs
    return isLong ? LONG_UNREGISTERED.pauseMs : UNREGISTERED_PAUSE_MS
  }
}

interface RefreshOptions {
  name: string
  current: () => RegistrySnapshot
  /** Age of the last confirmation that this process is registered, in milliseconds. */
  confirmedAgeMs: () => number
  /** Age of the oldest confirmation of a followed table, in milliseconds. */
  tablesAgeMs: () => number
  /** Maximum age of a confirmation for which this process counts as registered, in milliseconds. */
  registeredMs: number
  exchange: Pick<SnapshotExchange, 'requestFromReader'>
  /** Reads the store and registers this process; returns whether both succeeded. */
  readAndRegister: () => Promise<boolean>
  onError: (thrown: unknown) => void
}

/**
 * Refreshes the snapshot until stopped.
 *
 * @param options - access to the snapshot, and the ways to refresh it
 * @returns a function that stops refreshing
 */
export function keepSnapshotFresh (options: RefreshOptions): () => void {
  const { name, current, confirmedAgeMs, registeredMs, exchange, readAndRegister } = options
  const recentFailures = createRecentFailures()

  const isReader = (): boolean => readersOf(current().liveHosts).some((reader) => reader.name === name)
  const isFollower = (): boolean => followersOf(current().liveHosts).some((follower) => follower.name === name)
  const ageMs = (): number => performance.now() - current().askedAt
  /** Age of the oldest part of what this host decides by, in milliseconds. */
  const knowledgeAgeMs = (): number => Math.max(ageMs(), confirmedAgeMs(), options.tablesAgeMs())
  const isFresh = (): boolean => knowledgeAgeMs() < STALE_AFTER_MS
  let lastStoreReadAt = -Infinity
  let isRejected = false
  /** Hosts to try in this turn; those that failed recently come last. */
  const sources = (): KnownHost[] =>
    recentFailures.sortFailedLast(registrySourcesFor(name, current().liveHosts, isRejected)).slice(0, READERS_PER_TURN)
  const refreshFromReaders = async (): Promise<boolean> => {
    if (confirmedAgeMs() >= registeredMs) {
      return false
    }
    for (const source of sources()) {
      if (await exchange.requestFromReader(source, ageMs() < MAXIMUM_LONG_POLL_AGE_MS) && isFresh()) {
        return true
      }
      recentFailures.record(source)
    }
    return false
  }
  const readStore = async (): Promise<boolean> => {
    lastStoreReadAt = performance.now()
    isRejected = !await readAndRegister()
    return !isRejected
  }
  const isDue = (pauseMs: number): boolean => performance.now() - lastStoreReadAt >= pauseMs
  /** Turn of a reader: reads the store, or requests the snapshot from others while the store rejects this host. */
  const takeReaderTurn = async (): Promise<void> => {
    if (isDue(READ_INTERVAL_MS) && await readStore()) {
      await pause(READ_INTERVAL_MS)
      return
    }
    if (!await refreshFromReaders()) {
      await pause(FAILURE_PAUSE_MS)
    }
  }
  /** Turn of any other host: requests the snapshot from readers, or reads the store if none has a fresh one. */
  const takeTurn = async (): Promise<void> => {
    if (await refreshFromReaders()) {
      return
    }
    if (isDue(isFollower() ? READ_INTERVAL_MS : FALLBACK_READ_INTERVAL_MS)) {
      await readStore()
    }
    await pause(FAILURE_PAUSE_MS)
  }
  const isRegistered = (): boolean => confirmedAgeMs() < registeredMs
  const takeNextTurn = async (): Promise<void> => {
    if (!isRegistered()) {
      await readStore()
      return
    }
    isReader() ? await takeReaderTurn() : await takeTurn()
  }
  // A failed turn pauses as long as any other.
  const stopTurns = repeat(createPauses(isRegistered), takeNextTurn, options.onError)
  const stopStaleReads = readWhenStale({
    ageMs: knowledgeAgeMs,
    read: async () => {
      if (isDue(isFollower() ? READ_INTERVAL_MS : FALLBACK_READ_INTERVAL_MS)) {
        await readStore()
      }
    },
    onError: options.onError
  })
  return () => {
    stopTurns()
    stopStaleReads()
  }
}
