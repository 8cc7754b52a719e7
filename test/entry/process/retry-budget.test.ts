/**
 * Guards against a retry budget that is never refilled: every statement served by an upstream must earn a fraction of a
 * retry on its caller's host.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS, type FakeRoute } from '../../fixtures/fleet/world.ts'

const ROUTES: FakeRoute[] = [
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
]
/** Number of interrupted reads; more than the initial balance of the budget. */
const INTERRUPTED_READS = 120
/** Reads served before each interrupted one; each earns a fifth of a retry. */
const SERVED_PER_INTERRUPTED = 10

describe('the retry budget of an entry process', () => {
  const suite = setUpWorld(['h1', 'h2'], ROUTES)

  it('is refilled by served requests', async () => {
    const failures: string[] = []
    for (let turn = 0; turn < INTERRUPTED_READS; turn++) {
      const caller = suite.world.connect('h1', 'view')
      for (let read = 0; read < SERVED_PER_INTERRUPTED; read++) {
        await suite.settle(caller.read(), 20)
      }
      const interrupted = caller.read()
      await suite.clock.tickAsync(2)
      suite.world.upstreams.all.forEach(({ connections }) => connections.forEach((connection) => connection.close()))
      const { failure } = await suite.settle(interrupted, 900)
      if (failure !== undefined) {
        failures.push(`turn ${turn}: ${failure.kind}`)
      }
      caller.close()
    }
    expect(failures).toEqual([])
  })
})

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
/** Initial and maximum balance of the budget. */
const MAXIMUM_BALANCE = 100
/** Number of served statements that earn one retry. */
const SERVED_PER_RETRY = 5

/** Returns a host that is a home of the primary, and one that is not. */
function chooseHosts (): { home: string, other: string } {
  const hosts = HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN }))
  const homes = homesOf({ upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }, hosts, FAKE_CAP)
    .map(({ name }) => name)
  return { home: homes[0]!, other: HOSTS.find((name) => !homes.includes(name))! }
}

describe('the retry budget of an entry process under overload', () => {
  const suite = setUpWorld(HOSTS, [{ ...ROUTES[0]!, freshness: { type: 'primary' } }])
  const { home, other } = chooseHosts()
  const countRetries = () => {
    const counts = { retried: 0, refused: 0 }
    suite.world.logger = {
      log: (_level, event) => {
        counts.retried += event === 'read.retried' ? 1 : 0
        counts.refused += event === 'retry.refused' ? 1 : 0
      }
    }
    return counts
  }
  /** Sends reads whose answers are all lost after they ran. */
  const failReads = async (host: string, count: number): Promise<void> => {
    const primary = suite.world.upstreams.all.get('g-a')!
    primary.losesReads = true
    for (let read = 0; read < count; read++) {
      const caller = suite.world.connect(host, 'view')
      const { failure } = await suite.settle(caller.read(), 300)
      expect(failure?.kind).toEqual('aborted')
      caller.close()
    }
    primary.losesReads = false
  }
  const serveReads = async (host: string, count: number): Promise<void> => {
    const caller = suite.world.connect(host, 'view')
    for (let read = 0; read < count; read++) {
      expect((await suite.settle(caller.read(), 60)).failure).toEqual(undefined)
    }
    caller.close()
  }

  for (const [place, host] of [['its own connections', home], ['homes', other]] as const) {
    it(`bounds retries over ${place}, and earns a fifth of a retry per served read`, async () => {
      const counts = countRetries()
      await failReads(host, 60)
      expect(counts.retried).toEqual(MAXIMUM_BALANCE)
      expect(counts.refused > 0).toEqual(true)
      await serveReads(host, 10 * SERVED_PER_RETRY)
      await failReads(host, 30)
      expect(counts.retried).toEqual(MAXIMUM_BALANCE + 10)
    })
  }

  it('counts forwarded statements only on the host of their caller', async () => {
    const counts = countRetries()
    await failReads(home, 60)
    await serveReads(other, 20 * SERVED_PER_RETRY)
    await failReads(home, 10)
    expect(counts.retried).toEqual(MAXIMUM_BALANCE)
  })

  it('earns nothing from refused requests', async () => {
    const counts = countRetries()
    await failReads(home, 60)
    const primary = suite.world.upstreams.all.get('g-a')!
    const maximumConnections = primary.maximumConnections
    primary.maximumConnections = 0
    for (let read = 0; read < 100; read++) {
      const { failure } = await suite.settle(suite.world.connect(home, 'view').read(), 900)
      expect(failure?.kind).toEqual('busy')
    }
    primary.maximumConnections = maximumConnections
    await failReads(home, 10)
    expect(counts.retried).toEqual(MAXIMUM_BALANCE)
  })
})
