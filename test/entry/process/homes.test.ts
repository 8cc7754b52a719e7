import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS, type FakeCaller, type FakeRoute } from '../../fixtures/fleet/world.ts'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
/** Time that a busy home takes for each message, in milliseconds: it is suspected but not disconnected. */
const BUSY_MS = 450
const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }

/** Splits the hosts into the homes of an upstream and the others. */
function rolesAt (upstream: string): { homes: string[], others: string[] } {
  const hosts = HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN }))
  const placed = { upstream, failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }
  const homes = homesOf(placed, hosts, FAKE_CAP).map(({ name }) => name)
  return { homes, others: HOSTS.filter((name) => !homes.includes(name)) }
}

describe('a host that is not a home of an upstream', () => {
  const suite = setUpWorld(HOSTS, [MONEY, VIEW])
  const { homes, others } = rolesAt('g-a')
  const [other] = others as [string]
  const primary = () => suite.world.upstreams.all.get('g-a')!
  const connectionsOf = (host: string): number =>
    [...primary().connections].filter((connection) => connection.host === host).length
  const begin = async (host: string): Promise<FakeCaller> => {
    const caller = suite.world.connect(host, 'money')
    await suite.settle(caller.send({ type: 'begin', readOnly: false }), 10)
    return caller
  }

  it('forwards its statements and opens no connection of its own', async () => {
    for (let turn = 0; turn < 20; turn++) {
      expect((await suite.settle(suite.world.connect(other, 'money').write(), 100)).failure).toEqual(undefined)
      expect((await suite.settle(suite.world.connect(other, 'money').read(), 100)).failure).toEqual(undefined)
    }
    expect(connectionsOf(other)).toEqual(0)
    expect(homes.reduce((sum, host) => sum + connectionsOf(host), 0) > 0).toEqual(true)
  })

  it('learns the log position from replies, so that its bounded reads go to replicas', async () => {
    await suite.settle(suite.world.connect(other, 'money').write(), 100)
    const before = suite.world.upstreams.runs.length
    expect((await suite.settle(suite.world.connect(other, 'view').read(), 100)).failure).toEqual(undefined)
    expect(suite.world.upstreams.runs.at(before)?.upstream === 'g-a').toEqual(false)
  })

  it('runs a transaction on one connection, isolated from other transactions', async () => {
    const caller = await begin(other)
    const first = await suite.settle(caller.write(), 50)
    const second = await begin(other)
    await suite.settle(second.write(), 50)
    const read = await suite.settle(caller.read(), 50)
    expect(read.rows).toEqual([''])
    const committed = await suite.settle(caller.send({ type: 'commit', text: 'COMMIT' }), 50)
    expect({ failure: committed.failure, state: committed.state }).toEqual({ failure: undefined, state: 'idle' })
    await suite.settle(second.send({ type: 'rollback' }), 50)
    expect(primary().log.map(({ token }) => token)).toEqual([first.id])
    const runs = suite.world.upstreams.runs.filter(({ requestId }) => [first.id, read.id].includes(requestId))
    expect(new Set(runs.map(({ connection }) => connection)).size).toEqual(1)
  })

  it('reuses connections after commits and rollbacks', async () => {
    for (let turn = 0; turn < 40; turn++) {
      const caller = await begin(other)
      await suite.settle(caller.write(), 50)
      await suite.settle(caller.send(turn % 2 === 0 ? { type: 'commit', text: 'COMMIT' } : { type: 'rollback' }), 50)
    }
    expect(primary().log.length).toEqual(20)
    expect(primary().connections.size < 8).toEqual(true)
  })

  it('rolls back the transaction of a caller that disconnects', async () => {
    const caller = await begin(other)
    await suite.settle(caller.write(), 50)
    caller.close()
    await suite.clock.tickAsync(200)
    expect(primary().log.length).toEqual(0)
    expect(suite.world.openPassedTransactions()).toEqual(0)
  })

  it('rolls back its transactions when a link breaks, with at most one listener per link', async () => {
    for (let turn = 0; turn < 12; turn++) {
      const caller = await begin(other)
      await suite.settle(caller.write(), 50)
      await suite.settle(caller.send({ type: 'rollback' }), 50)
    }
    const caller = await begin(other)
    await suite.settle(caller.write(), 50)
    expect(suite.world.openPassedTransactions()).toEqual(1)
    homes.forEach((home) => {
      expect(suite.world.linkBetween(other, home).listeners.length <= 1).toEqual(true)
      suite.world.breakLink(other, home)
    })
    await suite.clock.tickAsync(100)
    expect(suite.world.openPassedTransactions()).toEqual(0)
    const { failure } = await suite.settle(caller.send({ type: 'commit', text: 'COMMIT' }), 500)
    expect(failure?.kind).toEqual('aborted')
    expect(primary().log.length).toEqual(0)
  })

  it('refuses to commit a transaction whose homes have stopped, and nothing of it is stored', async () => {
    const caller = await begin(other)
    await suite.settle(caller.write(), 50)
    await Promise.all([...homes.map(async (home) => await suite.world.kill(home)), suite.clock.tickAsync(10)])
    const { failure } = await suite.settle(caller.send({ type: 'commit', text: 'COMMIT' }), 2000)
    expect(failure?.kind).toEqual('busy')
    expect(primary().log.length).toEqual(0)
  })

  it('uses another home when one is gone, and connects to the upstream itself when all are', async () => {
    for (const home of homes) {
      await Promise.all([suite.world.kill(home), suite.clock.tickAsync(10)])
      const { failure } = await suite.settle(suite.world.connect(other, 'money').write(), 700)
      expect(failure).toEqual(undefined)
    }
    expect(connectionsOf(other)).toEqual(1)
  })

  it('sends writes to another home when one has been silent for a while, and none is in doubt', async () => {
    suite.world.silent.add(homes[0]!)
    await suite.clock.tickAsync(400)
    const outcomes = await suite.settle(Promise.all(
      Array.from({ length: 10 }, async () => await suite.world.connect(other, 'money').write())), 2000)
    expect(outcomes.filter(({ failure }) => failure?.kind === 'in-doubt').length).toEqual(0)
    expect(outcomes.filter(({ failure }) => failure === undefined).length).toEqual(10)
  })

  it('serves reads elsewhere within half a second when a home is silent', async () => {
    const [silentHome] = rolesAt('g-b').homes as [string]
    const reader = HOSTS.find((name) => !rolesAt('g-b').homes.includes(name))!
    for (const replica of ['g-c', 'g-a']) {
      suite.world.upstreams.all.get(replica)!.workMs = 60
    }
    await suite.settle(suite.world.connect(reader, 'money').write(), 300)
    suite.world.silent.add(silentHome)
    for (let turn = 0; turn < 8; turn++) {
      const { failure } = await suite.settle(suite.world.connect(reader, 'view').read(), 500)
      expect(failure).toEqual(undefined)
    }
  })

  it('waits for a write in progress at a busy home, and sends reads elsewhere', async () => {
    const [busy] = homes as [string]
    suite.world.upstreams.all.get('g-a')!.workMs = 60
    const writing = Promise.all(
      Array.from({ length: 12 }, async () => await suite.world.connect(other, 'money').write()))
    await suite.clock.tickAsync(2)
    suite.world.busy.set(busy, BUSY_MS)
    const written = await suite.settle(writing, 1500)
    expect(written.filter(({ failure }) => failure?.kind === 'in-doubt').length).toEqual(0)
    for (let turn = 0; turn < 8; turn++) {
      const { failure } = await suite.settle(suite.world.connect(other, 'money').read(), BUSY_MS - 50)
      expect(failure).toEqual(undefined)
    }
  })

  it('rolls back a transaction that a busy home begins after the request was abandoned', async () => {
    homes.forEach((home) => suite.world.busy.set(home, BUSY_MS))
    const caller = await begin(other)
    const writing = caller.write()
    await suite.clock.tickAsync(3000)
    await writing
    caller.close()
    await suite.clock.tickAsync(2 * BUSY_MS)
    expect(suite.world.openPassedTransactions()).toEqual(0)
    expect(primary().log.length).toEqual(0)
  })

  it('uses the home that still reaches the primary when other homes have lost it', async () => {
    homes.slice(0, 2).forEach((home) => primary().cutOff.add(home))
    await suite.clock.tickAsync(100)
    for (let turn = 0; turn < 8; turn++) {
      const { failure } = await suite.settle(suite.world.connect(other, 'money').write(), 800)
      expect(failure).toEqual(undefined)
    }
    expect(suite.world.upstreams.promotions.length).toEqual(0)
  })

  it('moves to other hosts when its homes stop, and can still commit an open transaction', async () => {
    const caller = await begin(other)
    const { id } = await suite.settle(caller.write(), 50)
    const stopping = Promise.all(homes.map(async (home) => await suite.world.hosts.get(home)!.kernel.stop()))
    await suite.clock.tickAsync(300)
    const committed = await suite.settle(caller.send({ type: 'commit', text: 'COMMIT' }), 100)
    expect(committed.failure).toEqual(undefined)
    expect(primary().log.map(({ token }) => token)).toEqual([id])
    const { failure } = await suite.settle(suite.world.connect(other, 'money').write(), 700)
    expect(failure).toEqual(undefined)
    await suite.settle(stopping, 7000)
    homes.forEach((home) => { suite.world.hosts.get(home)!.running = false })
  })

  it('does not forward a statement to a home whose desired state is older than its own', async () => {
    const fresh = { ...MONEY, database: 'fresh' }
    homes.forEach((home) => suite.world.store.cutOff.add(home))
    suite.world.lostTypes.add('table-changes')
    suite.world.configure([MONEY, VIEW, fresh])
    await suite.clock.tickAsync(600)
    const versionAt = (host: string): number =>
      suite.world.hosts.get(host)!.kernel.use('desiredState').current!.version
    expect(homes.every((home) => versionAt(home) < versionAt(other))).toEqual(true)
    const { failure, id } = await suite.settle(suite.world.connect(other, 'fresh').write(), 700)
    expect(failure).toEqual(undefined)
    const run = suite.world.upstreams.runs.find(({ requestId }) => requestId === id)!
    expect(run.host).toEqual(other)
  })
})
