import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { pause } from '../../../src/core/time/deadline.ts'
import { EXTEND_AFTER_MS } from '../../../src/entry/leadership/extensions.ts'
import { STALE_AFTER_MS } from '../../../src/entry/ports/change-bound.ts'
import { keepSnapshotFresh, POLL_MS } from '../../../src/entry/registry/snapshot-refresh.ts'
import { followersOf, readersOf } from '../../../src/entry/registry/readers.ts'
import { EMPTY_SNAPSHOT, type KnownHost, type RegistrySnapshot } from '../../../src/entry/registry/snapshot.ts'
import { MONEY } from '../../fixtures/fleet/set-up.ts'
import { useFakeFleet, World } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const NAMES = Array.from({ length: 16 }, (_, index) => `h${index + 1}`)
const HOSTS: KnownHost[] = NAMES.map((name) => ({
  name, version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p'
}))
/** Seeds that guard against overestimated freshness of a snapshot, and against too few sources for a rejected host. */
const SEEDS = [35, 64, 72, 153]
const FOLLOWERS = followersOf(HOSTS).map(({ name }) => name)

/** Simulates a host that the store rejects while one other host reads the registry. */
class RejectedHost {
  /** Hosts that received a request. */
  readonly requested = new Set<string>()
  /** Maximum age of the snapshot, in milliseconds. */
  maximumAgeMs = 0
  private snapshot: RegistrySnapshot = { ...EMPTY_SNAPSHOT, version: 1, liveHosts: HOSTS, askedAt: performance.now() }
  private readonly stop: () => void

  constructor (name: string, reading: string) {
    this.stop = keepSnapshotFresh({
      name,
      current: () => this.snapshot,
      confirmedAgeMs: () => this.ageMs(),
      tablesAgeMs: () => 0,
      registeredMs: 15_000,
      exchange: { requestFromReader: async (reader) => this.request(reader, reading) },
      readAndRegister: async () => false,
      onError: () => {}
    })
  }

  close (): void {
    this.stop()
  }

  private ageMs (): number {
    return performance.now() - this.snapshot.askedAt
  }

  private request ({ name }: KnownHost, reading: string): boolean {
    this.maximumAgeMs = Math.max(this.maximumAgeMs, this.ageMs())
    this.requested.add(name)
    if (name !== reading) {
      return false
    }
    this.snapshot = { ...this.snapshot, askedAt: performance.now() - performance.now() % POLL_MS }
    return true
  }
}

describe('keepSnapshotFresh', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => clock.uninstall())

  it('lets a backup reader that the store rejects request the snapshot from later backup readers', async () => {
    const [, first, second] = FOLLOWERS
    const host = new RejectedHost(first!, second!)
    await clock.tickAsync(20_000)
    host.close()
    expect(host.requested.has(second!)).toEqual(true)
    expect(host.maximumAgeMs < EXTEND_AFTER_MS).toEqual(true)
  })

  it('reads the store when the knowledge of a host that hears from nobody has become stale', async () => {
    const [name] = NAMES.filter((host) => !FOLLOWERS.includes(host))
    let snapshot: RegistrySnapshot = { ...EMPTY_SNAPSHOT, version: 1, liveHosts: HOSTS, askedAt: performance.now() }
    const ageMs = (): number => performance.now() - snapshot.askedAt
    const agesAtRead: number[] = []
    const stop = keepSnapshotFresh({
      name: name!,
      current: () => snapshot,
      confirmedAgeMs: ageMs,
      tablesAgeMs: ageMs,
      registeredMs: 15_000,
      // Longer than the age at which the store has to be read.
      exchange: { requestFromReader: async () => await pause(2 * STALE_AFTER_MS).then(() => false) },
      readAndRegister: async () => {
        agesAtRead.push(ageMs())
        snapshot = { ...snapshot, askedAt: performance.now() }
        return true
      },
      onError: () => {}
    })
    await clock.tickAsync(60_000)
    stop()
    expect(Math.max(...agesAtRead) <= STALE_AFTER_MS).toEqual(true)
  })

  it('keeps the snapshot of a reader fresh while the store rejects it', async () => {
    const host = new RejectedHost(readersOf(HOSTS)[0]!.name, FOLLOWERS.at(-1)!)
    await clock.tickAsync(20_000)
    host.close()
    expect(host.maximumAgeMs < EXTEND_AFTER_MS).toEqual(true)
  })
})

/** Simulates a fleet of which the store rejects every third host; returns the number of lease extension requests. */
async function simulateRejections (clock: Clock): Promise<number> {
  const world = new World()
  world.addGroup('g')
  world.configure([MONEY])
  for (const name of NAMES) {
    await world.startHost(name)
  }
  await clock.tickAsync(3000)
  NAMES.filter((_, index) => index % 3 === 0).forEach((name) => world.store.cutOff.add(name))
  await clock.tickAsync(8000)
  const closing = world.close()
  await clock.tickAsync(1000)
  await closing
  return world.messagesByType.get('extend') ?? 0
}

describe('hosts that the store rejects, including the reader and the first backup reader', () => {
  for (const seed of SEEDS) {
    it(`request no lease extensions, seed ${seed}`, async () => {
      useFakeFleet()
      const restoreRandom = seedRandom(seed)
      const clock = fakeTimers.install()
      const extensions = await simulateRejections(clock)
      clock.uninstall()
      restoreRandom()
      expect(extensions).toEqual(0)
    })
  }
})
