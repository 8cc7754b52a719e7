import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const ROUTES: FakeRoute[] = [
  { database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 800 },
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 },
  { database: 'own', group: 'g', freshness: { type: 'session', maximumAgeMs: 2500 }, timeoutMs: 800 }
]

describe('entry processes without faults', () => {
  const suite = setUpWorld(['h1', 'h2'], ROUTES)
  const { settle } = suite

  it('reads acknowledged writes back immediately on primary and session routes', async () => {
    const written = await settle(suite.world.connect('h1', 'money').write())
    expect(written.failure).toEqual(undefined)
    const own = suite.world.connect('h2', 'own')
    const ownWrite = await settle(own.write(), 20)
    const ownRead = await settle(own.read(), 40)
    expect(ownRead.rows[0]?.split(',').includes(ownWrite.id)).toEqual(true)
    const read = await settle(suite.world.connect('h2', 'money').read(), 40)
    expect(read.rows[0]?.split(',').includes(ownWrite.id)).toEqual(true)
  })

  it('serves bounded reads at replicas after an answer of the primary has proved their freshness', async () => {
    await settle(suite.world.connect('h1', 'money').write(), 300)
    suite.world.upstreams.runs.length = 0
    for (let turn = 0; turn < 6; turn++) {
      await settle(suite.world.connect('h1', 'view').read(), 50)
    }
    expect(suite.world.upstreams.runs.length).toEqual(6)
    expect(suite.world.upstreams.runs.every(({ upstream }) => upstream !== 'g-a')).toEqual(true)
  })

  it('isolates session values and prepared statements of callers on shared connections', async () => {
    for (let turn = 0; turn < 8; turn++) {
      const one = suite.world.connect('h1', 'own')
      const two = suite.world.connect('h1', 'own')
      await settle(one.send({ type: 'set', name: 'zone', value: 'one' }), 20)
      await settle(two.send({ type: 'set', name: 'user', value: 'two' }), 20)
      await settle(one.send({ type: 'prepare', name: 's', prepared: { access: 'read', shape: 'q1' } }), 20)
      await settle(two.send({ type: 'prepare', name: 's', prepared: { access: 'read', shape: 'q2' } }), 20)
      suite.world.upstreams.runs.length = 0
      const answers = [one, two].map(async (caller) => await caller.send({ type: 'execute', name: 's', parameters: 'k' }))
      const [first, second] = await settle(Promise.all(answers), 100)
      const runOf = (id: string) => suite.world.upstreams.runs.find(({ requestId }) => requestId === id)
      expect(runOf(first!.id)?.values).toEqual({ zone: 'one' })
      expect(runOf(first!.id)?.text).toEqual('read q1 k')
      expect(runOf(second!.id)?.values).toEqual({ user: 'two' })
      expect(runOf(second!.id)?.text).toEqual('read q2 k')
      one.close()
      two.close()
    }
  })

  it('runs a transaction on one connection, without statements of other callers in it', async () => {
    const caller = suite.world.connect('h1', 'money')
    await settle(caller.send({ type: 'begin', readOnly: false }), 10)
    const first = await settle(caller.write(), 100)
    const other = await settle(suite.world.connect('h1', 'money').write(), 100)
    const second = await settle(caller.write(), 100)
    const commit = await settle(caller.send({ type: 'commit', text: 'COMMIT' }), 100)
    expect([first, other, second, commit].filter(({ failure }) => failure !== undefined)).toEqual([])
    const runOf = (id: string) => suite.world.upstreams.runs.find(({ requestId }) => requestId === id)!
    expect(runOf(first.id).connection).toEqual(runOf(second.id).connection)
    expect(runOf(other.id).connection === runOf(first.id).connection).toEqual(false)
    expect(suite.world.upstreams.all.get('g-a')!.log.map(({ token }) => token)).toEqual([other.id, first.id, second.id])
  })

  it('rolls back the open transaction of a caller that disconnects', async () => {
    const caller = suite.world.connect('h1', 'money')
    await settle(caller.send({ type: 'begin', readOnly: false }), 10)
    await settle(caller.write(), 100)
    caller.close()
    await settle(suite.world.connect('h1', 'money').write(), 200)
    expect(suite.world.upstreams.all.get('g-a')!.log.length).toEqual(1)
  })

  it('waits for the running statement before it rolls back for a caller that disconnects', async () => {
    const caller = suite.world.connect('h1', 'money')
    await settle(caller.send({ type: 'begin', readOnly: false }), 10)
    await settle(caller.write(), 100)
    suite.world.upstreams.all.get('g-a')!.workMs = 50
    const writing = caller.write()
    await suite.clock.tickAsync(10)
    caller.close()
    await settle(writing, 500)
    await settle(suite.world.connect('h1', 'money').write(), 300)
    expect(suite.world.upstreams.overlaps).toEqual(0)
    expect(suite.world.upstreams.all.get('g-a')!.log.length).toEqual(1)
  })

  it('reports a write whose answer is lost as in doubt, without delay', async () => {
    const caller = suite.world.connect('h1', 'money')
    await settle(caller.write(), 100)
    suite.world.upstreams.all.get('g-a')!.loseAnswers = 1
    const startedAt = performance.now()
    let endedAt = 0
    const pending = caller.write().finally(() => { endedAt = performance.now() })
    const answer = await settle(pending, 500)
    expect(answer.failure?.kind).toEqual('in-doubt')
    expect(endedAt - startedAt < 50).toEqual(true)
  })

  it('refuses a database without a route', async () => {
    const answer = await settle(suite.world.connect('h1', 'nowhere').read(), 10)
    expect(answer.failure?.kind).toEqual('unknown-database')
  })

  it('rolls back a transaction that is idle for too long, and reports it as aborted', async () => {
    const caller = suite.world.connect('h1', 'money')
    await settle(caller.send({ type: 'begin', readOnly: false }), 10)
    await settle(caller.write(), 100)
    await suite.clock.tickAsync(4000)
    const answer = await settle(caller.write(), 100)
    expect(answer.failure?.kind).toEqual('aborted')
    expect(answer.state).toEqual('failed')
    const end = await settle(caller.send({ type: 'rollback' }), 10)
    expect(end.state).toEqual('idle')
    expect(suite.world.upstreams.all.get('g-a')!.log.length).toEqual(0)
  })
})
