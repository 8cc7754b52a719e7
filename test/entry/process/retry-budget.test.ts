/**
 * A process repeats a read that may have run by taking from its retry budget, which holds 100 at the start. It aborted
 * every such read from the 101st on, for the rest of its life, however much it had served in between: nothing in the
 * entry process counted what was served. The log shows 100 lines `read.repeated`, then 20 lines `retry.refused` with
 * `attempts=1` and `balance=0.0`: neither tries nor time nor the verdict forbade the retry, but the budget, which never
 * rose. Now each statement that an upstream has served counts, on the host of its caller.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS, type FakeRoute } from '../../fixtures/fleet/world.ts'

const ROUTES: FakeRoute[] = [
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
]
/** Interrupted reads: more than a process may repeat without having earned any by other requests. */
const INTERRUPTED = 120
/** Reads served in between for each interrupted one: they earn a fifth of a repetition each. */
const SERVED_BETWEEN = 10

describe('the retry budget of an entry process', () => {
  const suite = setUpWorld(['h1', 'h2'], ROUTES)

  it('is refilled by the requests that are served', async () => {
    const failures: string[] = []
    for (let turn = 0; turn < INTERRUPTED; turn++) {
      const caller = suite.world.connect('h1', 'view')
      for (let read = 0; read < SERVED_BETWEEN; read++) {
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
/** Retries that a process may send before it has served anything. */
const GREATEST_BALANCE = 100
/** Served statements that earn one retry. */
const SERVED_PER_RETRY = 5

/** A host that is a home of every upstream of the group, and one that is none of the primary. */
function chooseHosts (): { home: string, other: string } {
  const hosts = HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN }))
  const homes = homesOf({ upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }, hosts, FAKE_CAP)
    .map(({ name }) => name)
  return { home: homes[0]!, other: HOSTS.find((name) => !homes.includes(name))! }
}

describe('the retry budget of an entry process under overload', () => {
  const suite = setUpWorld(HOSTS, [{ ...ROUTES[0]!, freshness: { type: 'primary' } }])
  const { home, other } = chooseHosts()
  const watchRetries = () => {
    const seen = { repeated: 0, refused: 0 }
    suite.world.logger = {
      log: (_level, event) => {
        seen.repeated += event === 'read.repeated' ? 1 : 0
        seen.refused += event === 'retry.refused' ? 1 : 0
      }
    }
    return seen
  }
  /** Reads whose answers are all lost after they ran. */
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

  for (const [place, host] of [['its own connections', home], ['homes that it asks', other]] as const) {
    it(`bounds what is sent again over ${place}, and refills by a fifth of what is served`, async () => {
      const seen = watchRetries()
      await failReads(host, 60)
      expect(seen.repeated).toEqual(GREATEST_BALANCE)
      expect(seen.refused > 0).toEqual(true)
      await serveReads(host, 10 * SERVED_PER_RETRY)
      await failReads(host, 30)
      expect(seen.repeated).toEqual(GREATEST_BALANCE + 10)
    })
  }

  it('counts forwarded work on the host of its caller alone', async () => {
    const seen = watchRetries()
    await failReads(home, 60)
    await serveReads(other, 20 * SERVED_PER_RETRY)
    await failReads(home, 10)
    expect(seen.repeated).toEqual(GREATEST_BALANCE)
  })

  it('earns nothing by what is refused', async () => {
    const seen = watchRetries()
    await failReads(home, 60)
    const primary = suite.world.upstreams.all.get('g-a')!
    const room = primary.maximumConnections
    primary.maximumConnections = 0
    for (let read = 0; read < 100; read++) {
      const { failure } = await suite.settle(suite.world.connect(home, 'view').read(), 900)
      expect(failure?.kind).toEqual('busy')
    }
    primary.maximumConnections = room
    await failReads(home, 10)
    expect(seen.repeated).toEqual(GREATEST_BALANCE)
  })
})
