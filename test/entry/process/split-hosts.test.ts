import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const HOSTS = Array.from({ length: 24 }, (_, index) => `h${index + 1}`)
/** Minority side of the partition: two of five hosts. */
const MINORITY = HOSTS.filter((_, index) => index % 5 < 2)
const GROUPS = ['g', 'k', 'm', 'n']
const ROUTES: FakeRoute[] = GROUPS.map((group) =>
  ({ database: group, group, freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }))
/** Time within which a read counts as served on time, in milliseconds. */
const IN_TIME_MS = 250
/** Interval between two reads at each host, in milliseconds. */
const READ_INTERVAL_MS = 80
const PARTITION_MS = 3000
const SEED = 1

describe('hosts that a partition separates from each other but not from the upstreams', () => {
  let restoreRandom: () => void
  beforeEach(() => { restoreRandom = seedRandom(SEED) })
  const suite = setUpWorld(HOSTS, ROUTES)
  afterEach(() => restoreRandom())

  /** Sends reads at all hosts for a while; returns the fraction served on time. */
  const sendReads = async (ms: number): Promise<number> => {
    let sent = 0
    let inTime = 0
    const read = async (host: string, database: string): Promise<void> => {
      const sentAt = performance.now()
      sent++
      const { failure } = await suite.world.connect(host, database).read()
      inTime += failure === undefined && performance.now() - sentAt <= IN_TIME_MS ? 1 : 0
    }
    const reads: Array<Promise<void>> = []
    for (let turn = 0; turn * READ_INTERVAL_MS < ms; turn++) {
      HOSTS.forEach((host, index) => reads.push(read(host, GROUPS[(turn + index) % GROUPS.length]!)))
      await suite.clock.tickAsync(READ_INTERVAL_MS)
    }
    await suite.settle(Promise.all(reads), 1000)
    return inTime / sent
  }

  it('serve over 95% of reads on time from one second after the partition begins', async () => {
    GROUPS.slice(1).forEach((group) => suite.world.addGroup(group))
    await suite.clock.tickAsync(2000)
    expect(await sendReads(1500) > 0.99).toEqual(true)
    MINORITY.forEach((host) => suite.world.beyondCut.add(host))
    // The first second includes the time to detect the silent homes.
    expect(await sendReads(1000) > 0.6).toEqual(true)
    expect(await sendReads(PARTITION_MS) > 0.95).toEqual(true)
    suite.world.beyondCut.clear()
    expect(await sendReads(PARTITION_MS) > 0.99).toEqual(true)
  })
})
