import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { EXTEND_AFTER_MS } from '../../../src/entry/leadership/extensions.ts'
import { keepSnapshotFresh, POLL_MS } from '../../../src/entry/registry/snapshot-refresh.ts'
import { followersOf, readersOf } from '../../../src/entry/registry/readers.ts'
import { UNKNOWN_REGISTRY, type KnownHost, type RegistrySnapshot } from '../../../src/entry/registry/snapshot.ts'
import { MONEY } from '../../fixtures/fleet/set-up.ts'
import { useFakeFleet, World } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const NAMES = Array.from({ length: 16 }, (_, index) => `h${index + 1}`)
const HOSTS: KnownHost[] = NAMES.map((name) => ({
  name, version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p'
}))
/**
 * Seeds with which the reader or its first deputy took its knowledge for younger than it stayed, or asked only the
 * other one, so that it asked all hosts for an extension.
 */
const SEEDS = [35, 64, 72, 153]
const FOLLOWERS = followersOf(HOSTS).map(({ name }) => name)

/** What a host asks and receives while the store rejects it, and one other host reads for all. */
class Rejected {
  /** Hosts that were asked. */
  readonly asked = new Set<string>()
  /** Greatest age that its knowledge reached, in milliseconds. */
  greatestAgeMs = 0
  private snapshot: RegistrySnapshot = { ...UNKNOWN_REGISTRY, version: 1, liveHosts: HOSTS, askedAt: performance.now() }
  private readonly stop: () => void

  constructor (name: string, reading: string) {
    this.stop = keepSnapshotFresh({
      name,
      current: () => this.snapshot,
      confirmedAgeMs: () => this.ageMs(),
      registeredMs: 15_000,
      exchange: { askReader: async (reader) => this.ask(reader, reading) },
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

  private ask ({ name }: KnownHost, reading: string): boolean {
    this.greatestAgeMs = Math.max(this.greatestAgeMs, this.ageMs())
    this.asked.add(name)
    if (name !== reading) {
      return false
    }
    this.snapshot = { ...this.snapshot, askedAt: performance.now() - performance.now() % POLL_MS }
    return true
  }
}

describe('keepLearning', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => clock.uninstall())

  it('lets a deputy that the store rejects ask the deputies after it', async () => {
    const [, first, second] = FOLLOWERS
    const host = new Rejected(first!, second!)
    await clock.tickAsync(20_000)
    host.close()
    expect(host.asked.has(second!)).toEqual(true)
    expect(host.greatestAgeMs < EXTEND_AFTER_MS).toEqual(true)
  })

  it('keeps the snapshot of a reader young while the store rejects it', async () => {
    const host = new Rejected(readersOf(HOSTS)[0]!.name, FOLLOWERS.at(-1)!)
    await clock.tickAsync(20_000)
    host.close()
    expect(host.greatestAgeMs < EXTEND_AFTER_MS).toEqual(true)
  })
})

/** Plays a fleet of which the store rejects every third host; returns how many extensions were asked for. */
async function playRejections (clock: Clock): Promise<number> {
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

describe('hosts that the store rejects, the reader and its first deputy among them', () => {
  for (const seed of SEEDS) {
    it(`get the registry from hosts that read: seed ${seed}`, async () => {
      useFakeFleet()
      const restoreRandom = seedRandom(seed)
      const clock = fakeTimers.install()
      const extensions = await playRejections(clock)
      clock.uninstall()
      restoreRandom()
      expect(extensions).toEqual(0)
    })
  }
})
