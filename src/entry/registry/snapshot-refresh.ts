/**
 * Decides from whom this host gets the registry next, and when: from the hosts that read it for others, or from the
 * store.
 *
 * - Inputs: whether this host is a reader or a deputy (by the order of followers), the ages of its snapshot and of its
 *   confirmation (milliseconds), when it last read the store, and which hosts failed to answer recently.
 * - Rule: a reader reads the store; while the store rejects it, it asks others. Any other host asks up to
 *   {@link READERS_ASKED} readers and deputies (`readers.ts`), and reads the store only when none returns a young
 *   snapshot.
 * - Why: each host needs a confirmation within each lease, but calls to the store are priced, and hosts that the store
 *   rejects must keep their leases without asking a majority for extensions.
 */
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import { createRecentFailures } from './recent-failures.ts'
import { followersOf, readersOf, registrySourcesFor } from './readers.ts'
import type { SnapshotExchange } from './snapshot-exchange.ts'
import type { KnownHost, RegistrySnapshot } from './snapshot.ts'

/**
 * Time between two reads of the table by a reader, in milliseconds. What it has read just before its next turn, and a
 * host received just before its own, is less than two thirds of a lease old.
 */
export const POLL_MS = 750
/** Pause between two questions to a reader, in milliseconds, which holds each. */
const ASK_PAUSE_MS = 150
/**
 * Age of the snapshot up to which a reader may hold the question, in milliseconds; an older one is refreshed at once.
 */
const HELD_AGE_MS = 1000
/** Pause after no host had a young snapshot, in milliseconds: a deputy begins to read meanwhile. */
const FAILURE_PAUSE_MS = 300
/** Greatest useful age of a snapshot, in milliseconds; a host that gets an older one asks the next. */
const RELAYED_AGE_MS = 1900
/** Readers that are asked in one turn: each may be silent for 0.3 s, and a lease lasts for three seconds. */
const READERS_ASKED = 3
/**
 * Least time between two reads of a host that follows no table, in milliseconds: when the store is away for all, those
 * that do notice its return.
 */
const OWN_READ_PAUSE_MS = 2000
/** Least time between two reads of a host that reads for others, in milliseconds. */
const READ_PAUSE_MS = POLL_MS - ASK_PAUSE_MS

/** Options of {@link keepSnapshotFresh}. */
interface RefreshOptions {
  name: string
  current: () => RegistrySnapshot
  /** Time since this process was last confirmed as registered, in milliseconds. */
  confirmedAgeMs: () => number
  /** Greatest age of a confirmation with which this process counts as registered, in milliseconds. */
  registeredMs: number
  exchange: Pick<SnapshotExchange, 'askReader'>
  /** Reads the store and registers this process; returns whether both succeeded. */
  readAndRegister: () => Promise<boolean>
  onError: (thrown: unknown) => void
}

/**
 * Refreshes the snapshot until stopped.
 *
 * @param options - what is known, and how it is refreshed
 * @returns stops refreshing
 */
export function keepSnapshotFresh (options: RefreshOptions): () => void {
  const { name, current, confirmedAgeMs, registeredMs, exchange, readAndRegister } = options
  const recentFailures = createRecentFailures()

  const isReader = (): boolean => readersOf(current().liveHosts).some((reader) => reader.name === name)
  const isFollower = (): boolean => followersOf(current().liveHosts).some((follower) => follower.name === name)
  const ageMs = (): number => performance.now() - current().askedAt
  const isYoung = (): boolean => ageMs() < RELAYED_AGE_MS && confirmedAgeMs() < RELAYED_AGE_MS
  let ownReadAt = -Infinity
  let isRejected = false
  /** The hosts that are asked in this turn; recent failures come last. */
  const sources = (): KnownHost[] =>
    recentFailures.order(registrySourcesFor(name, current().liveHosts, isRejected)).slice(0, READERS_ASKED)
  const refreshFromReaders = async (): Promise<boolean> => {
    if (confirmedAgeMs() >= registeredMs) {
      return false
    }
    for (const source of sources()) {
      if (await exchange.askReader(source, ageMs() < HELD_AGE_MS) && isYoung()) {
        return true
      }
      recentFailures.record(source)
    }
    return false
  }
  const readNow = async (): Promise<boolean> => {
    ownReadAt = performance.now()
    isRejected = !await readAndRegister()
    return !isRejected
  }
  const isDue = (pauseMs: number): boolean => performance.now() - ownReadAt >= pauseMs
  /** A reader's turn: reads the store, or asks others while the store rejects this host. */
  const takeReaderTurn = async (): Promise<void> => {
    if (isDue(READ_PAUSE_MS) && await readNow()) {
      await pause(READ_PAUSE_MS)
      return
    }
    if (!await refreshFromReaders()) {
      await pause(FAILURE_PAUSE_MS)
    }
  }
  /** Any other host's turn: asks readers, and reads the store when none returns a young snapshot. */
  const takeTurn = async (): Promise<void> => {
    if (await refreshFromReaders()) {
      return
    }
    if (isDue(isFollower() ? READ_PAUSE_MS : OWN_READ_PAUSE_MS)) {
      await readNow()
    }
    await pause(FAILURE_PAUSE_MS)
  }
  return repeat(ASK_PAUSE_MS, async () => {
    current().version < 0 || isReader() ? await takeReaderTurn() : await takeTurn()
  }, options.onError)
}
