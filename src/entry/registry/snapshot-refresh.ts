/** Brings the registry from hosts that read it for others, so that few hosts ask the store. */
import { pause } from '../../core/time/deadline.ts'
import { repeat } from '../../core/time/repeat.ts'
import { createRecentFailures } from './recent-failures.ts'
import { followersOf, orderFor, readersOf } from './readers.ts'
import type { SnapshotExchange } from './snapshot-exchange.ts'
import type { KnownHost, RegistrySnapshot } from './snapshot.ts'

/**
 * Time between two reads of the table by a reader, in milliseconds. What it has read just before its next turn, learnt
 * by a host just before its own, is less than two thirds of a right old.
 */
export const POLL_MS = 750
/** Pause between two questions to a reader, in milliseconds; it holds each of them until something changes. */
const ASK_PAUSE_MS = 150
/**
 * Age up to which what is known here lets a reader hold the question, in milliseconds; older knowledge is renewed now.
 */
const HELD_AGE_MS = 1000
/** Pause after nobody knew anything younger, in milliseconds: a stand-in begins to read meanwhile. */
const FAILURE_PAUSE_MS = 300
/** Greatest age of what a reader passes on, in milliseconds; a host that learns nothing younger asks the next one. */
const RELAYED_AGE_MS = 1900
/** Readers that are asked in one turn. Each may be silent for 0.3 s, and a right lasts for three seconds. */
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
  relay: Pick<SnapshotExchange, 'askReader'>
  /** Reads the store and registers this process; returns whether that came about. */
  readAndRegister: () => Promise<boolean>
  onError: (thrown: unknown) => void
}

/**
 * Keeps learning until closed. A reader reads the store, and asks other readers while the store turns it away; any
 * other host asks readers, and reads the store only when they bring nothing young.
 *
 * @param options - what is known, and how more is learnt
 * @returns stops learning
 */
export function keepSnapshotFresh (options: RefreshOptions): () => void {
  const { name, current, confirmedAgeMs, registeredMs, relay, readAndRegister } = options
  const recentFailures = createRecentFailures()

  const isReader = (): boolean => readersOf(current().liveHosts).some((reader) => reader.name === name)
  const placeAmongFollowers = (): number => followersOf(current().liveHosts).findIndex((host) => host.name === name)
  const ageMs = (): number => performance.now() - current().askedAt
  const isYoung = (): boolean => ageMs() < RELAYED_AGE_MS && confirmedAgeMs() < RELAYED_AGE_MS
  let ownReadAt = -Infinity
  let isTurnedAway = false
  /**
   * Other followers that read when readers can't; of these each asks those before itself, so that one reads for all. A
   * host that the store turns away reads for nobody, and asks those behind it as well.
   */
  const deputies = (): KnownHost[] => {
    const place = placeAmongFollowers()
    const followers = followersOf(current().liveHosts)
    return isTurnedAway || isReader() || place < 0 ? followers : followers.slice(0, place)
  }
  /** Hosts that may have read the registry; those that do not read, or brought nothing young, come last. */
  const readers = (): KnownHost[] => {
    const { liveHosts } = current()
    const known = [...orderFor(name, liveHosts, readersOf(liveHosts)), ...deputies()]
    const others = [...new Set(known)].filter((reader) => reader.name !== name)
    return recentFailures.order(others).slice(0, READERS_ASKED)
  }
  const learnFromReaders = async (): Promise<boolean> => {
    if (confirmedAgeMs() >= registeredMs) {
      return false
    }
    for (const reader of readers()) {
      if (await relay.askReader(reader, ageMs() < HELD_AGE_MS) && isYoung()) {
        return true
      }
      recentFailures.note(reader)
    }
    return false
  }
  const readNow = async (): Promise<boolean> => {
    ownReadAt = performance.now()
    isTurnedAway = !await readAndRegister()
    return !isTurnedAway
  }
  const isDue = (pauseMs: number): boolean => performance.now() - ownReadAt >= pauseMs
  /** Reads the store, as readers do; learns from others for as long as it turns this host away. */
  const lead = async (): Promise<void> => {
    if (isDue(READ_PAUSE_MS) && await readNow()) {
      await pause(READ_PAUSE_MS)
      return
    }
    if (!await learnFromReaders()) {
      await pause(FAILURE_PAUSE_MS)
    }
  }
  /** Learns from readers, and reads the store when they bring nothing young. */
  const learn = async (): Promise<void> => {
    if (await learnFromReaders()) {
      return
    }
    if (isDue(placeAmongFollowers() < 0 ? OWN_READ_PAUSE_MS : READ_PAUSE_MS)) {
      await readNow()
    }
    await pause(FAILURE_PAUSE_MS)
  }
  return repeat(ASK_PAUSE_MS, async () => {
    current().version < 0 || isReader() ? await lead() : await learn()
  }, options.onError)
}
