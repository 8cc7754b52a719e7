import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { placeHomes } from '../../../src/placement/upstream-homes.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const HOSTS = Array.from({ length: 9 }, (_, index) => `h${index + 1}`)
const STRONG = ['h1', 'h5']
/** The last host announces nothing, as one of an older release. */
const capacityOf = (name: string): number | undefined => STRONG.includes(name) ? 1.35 : name === 'h9' ? undefined : 0.32
const CAPACITIES = Object.fromEntries(HOSTS.map((name) => [name, { cores: capacityOf(name) }]))

/** Computes the homes of the primary and their parts of its statements. */
function partsAmong (hosts: string[]): Array<{ name: string, part: number }> {
  const placeable = hosts.map((name) => ({ name, failureDomain: FAKE_DOMAIN, capacity: capacityOf(name) }))
  const placed = { upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }
  const { homes, shares } = placeHomes(placed, placeable, FAKE_CAP)
  return homes.map(({ name }) => ({ name, part: (shares?.get(name) ?? 1) / homes.length }))
}

describe('hosts that differ in capacity', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(11) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(HOSTS, [MONEY], CAPACITIES)
  /** Sends writes through hosts that are no homes and checks which part of them each home runs. */
  const expectParts = async (hosts: string[]): Promise<void> => {
    const homes = partsAmong(hosts)
    const callers = hosts.filter((host) => !homes.some(({ name }) => name === host))
    const before = suite.world.upstreams.runs.length
    for (let sent = 0; sent < 600; sent++) {
      const caller = suite.world.connect(callers[sent % callers.length]!, 'money')
      expect((await suite.settle(caller.write(), 40)).failure).toEqual(undefined)
    }
    const ran = suite.world.upstreams.runs.slice(before).filter(({ upstream }) => upstream === 'g-a')
    for (const { name, part } of homes) {
      expect(Math.abs(ran.filter(({ host }) => host === name).length / 600 - part) < 0.06).toEqual(true)
    }
  }

  it('run the statements of an upstream in proportion to their shares, also when all strong ones are lost', async () => {
    await expectParts(HOSTS)
    await Promise.all(STRONG.map(async (name) => { await suite.world.kill(name) }))
    await suite.clock.tickAsync(20_000)
    await expectParts(HOSTS.filter((name) => !STRONG.includes(name)))
  })
})
