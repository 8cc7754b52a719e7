import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { groupRowSchema, REGISTRY_TABLE, registryKeys } from '../../../src/entry/registry/index.ts'
import { checkOnePrimary, checkStaleReads, collectEvidence, type Operation } from '../../fixtures/fleet/history.ts'
import { setUpWorld, type SuiteWorld } from '../../fixtures/fleet/set-up.ts'
import type { World } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

/** Hosts that lose the primary, and hosts beyond the cut that lose the store and still reach the primary. */
const NEAR = ['h1', 'h2', 'h3', 'h4']
const BEYOND = ['h5', 'h6', 'h7', 'h8']
/** Longer than a failover that waits for the longest lease, in milliseconds. */
const CUT_MS = 20_000
/** Time within which hosts retire three others, one after the other, in milliseconds. */
const RETIRED_MS = 11_500
/** Interval between two operations, in milliseconds. */
const SEND_INTERVAL_MS = 20

/** Cuts hosts off from all others and from the store. */
function cutOff (world: World, beyond: string[]): void {
  world.cutRefuses = true
  beyond.forEach((host) => {
    world.beyondCut.add(host)
    world.store.cutOff.add(host)
  })
}

function losePrimary (world: World, hosts: string[]): void {
  hosts.forEach((host) => world.upstreams.all.get('g-a')!.cutOff.add(host))
}

/** Creates the function that reads and writes at the hosts on both sides in turn. */
function createLoad (
  suite: SuiteWorld, near: string[], beyond: string[]
): (durationMs: number) => Promise<Operation[]> {
  return async (durationMs) => {
    const operations: Operation[] = []
    const send = async (host: string, type: Operation['type']): Promise<void> => {
      const startedAt = performance.now()
      const caller = suite.world.connect(host, 'money')
      const { id, ...answer } = type === 'read' ? await caller.read() : await caller.write()
      const endedAt = performance.now()
      operations.push({ id, type, session: 0, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt, endedAt, answer })
    }
    for (let turn = 0; turn * SEND_INTERVAL_MS < durationMs; turn++) {
      const side = turn % 2 === 0 ? near : beyond
      void send(side[(turn >> 2) % side.length]!, turn % 4 < 2 ? 'write' : 'read')
      await suite.clock.tickAsync(SEND_INTERVAL_MS)
    }
    await suite.clock.tickAsync(1000)
    return operations
  }
}

const SEED = 1
let restoreRandom: () => void
beforeEach(() => { restoreRandom = seedRandom(SEED) })
afterEach(() => restoreRandom())

describe('a cut between hosts that refuses connections', () => {
  const suite = setUpWorld([...NEAR, ...BEYOND])
  const sendRequests = createLoad(suite, NEAR, BEYOND)

  it('lets no host acknowledge writes or serve reads at the old primary after a promotion', async () => {
    cutOff(suite.world, BEYOND)
    losePrimary(suite.world, NEAR)
    const evidence = collectEvidence(await sendRequests(CUT_MS), suite.world.upstreams)
    expect(evidence.promotions.length).toEqual(1)
    expect({ writes: checkOnePrimary(evidence).length, reads: checkStaleReads(evidence).length })
      .toEqual({ writes: 0, reads: 0 })
  })
})

describe('a cut between two and three hosts that refuses connections', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3', 'h4', 'h5'])
  const sendRequests = createLoad(suite, ['h1', 'h2'], ['h3', 'h4', 'h5'])

  it('keeps a primary that only the minority cannot reach', async () => {
    cutOff(suite.world, ['h3', 'h4', 'h5'])
    losePrimary(suite.world, ['h1', 'h2'])
    // Shorter than it takes to retire a host.
    await sendRequests(1200)
    expect((await suite.settle(suite.world.connect('h4', 'money').write(), 100)).failure).toEqual(undefined)
    const row = suite.world.store.tables.get(REGISTRY_TABLE)?.get(registryKeys.group('g'))
    expect(groupRowSchema.parse(JSON.parse(row!.value)).state).toEqual('open')
    expect(suite.world.upstreams.promotions).toEqual([])
  })

  it('leaves the leases of retired hosts their time, which the majority extends without the store', async () => {
    cutOff(suite.world, ['h3', 'h4', 'h5'])
    const before = await sendRequests(RETIRED_MS)
    losePrimary(suite.world, ['h1', 'h2'])
    const operations = [...before, ...await sendRequests(CUT_MS)]
    const evidence = collectEvidence(operations, suite.world.upstreams)
    expect(evidence.promotions.length).toEqual(1)
    expect({ writes: checkOnePrimary(evidence).length, reads: checkStaleReads(evidence).length })
      .toEqual({ writes: 0, reads: 0 })
  })
})
