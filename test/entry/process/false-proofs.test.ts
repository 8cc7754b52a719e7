/** Guards against proofs of position from an old primary, which let a host without newer proofs serve stale reads. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { checkStaleReads, collectEvidence, type Operation } from '../../fixtures/fleet/history.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const MAXIMUM_AGE_MS = 1500
const VIEW: FakeRoute = {
  database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: MAXIMUM_AGE_MS }, timeoutMs: 800
}
/** Run time of statements at the replicas, in milliseconds; reads prefer the old primary. */
const SLOW_MS = 80
const STEP_MS = 100
/** Steps of the transaction on the old primary: through the failover, and for longer than the reads' maximum age. */
const STEPS = 60

describe('a read-only transaction that goes on at the old primary', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY, VIEW])

  it('proves no position to the other reads of its host', async () => {
    const { world, clock } = suite
    const operations: Operation[] = []
    const record = async (host: string, type: 'read' | 'write'): Promise<void> => {
      const startedAt = performance.now()
      const caller = world.connect(host, type === 'read' ? 'view' : 'money')
      const { id, ...answer } = type === 'read' ? await caller.read() : await caller.write()
      const maximumAgeMs = type === 'read' ? MAXIMUM_AGE_MS : 0
      const endedAt = performance.now()
      operations.push({ id, type, session: 0, group: 'g', maximumAgeMs, ownWrites: false, startedAt, endedAt, answer })
    }
    const replicas = [...world.upstreams.all.values()].filter(({ name }) => name !== 'g-a')
    await suite.settle(record('h1', 'write'), 900)
    replicas.forEach((replica) => { replica.cutOff.add('h1') })
    for (let turn = 0; turn < 10; turn++) {
      await suite.settle(record('h1', 'read'), 900)
    }
    const transaction = world.connect('h1', 'view')
    await suite.settle(transaction.send({ type: 'begin', readOnly: true }), 100)
    const first = await suite.settle(transaction.read(), 900)
    expect(first.signature?.startsWith('g-a')).toEqual(true)

    for (const replica of replicas) {
      replica.cutOff.delete('h1')
      replica.workMs = SLOW_MS
    }
    world.upstreams.all.get('g-a')!.cutOff.add('h2').add('h3')
    for (let step = 0; step < STEPS; step++) {
      void record(step % 2 === 0 ? 'h2' : 'h3', 'write')
      void transaction.read()
      await clock.tickAsync(STEP_MS)
    }
    expect(world.upstreams.promotions.length).toEqual(1)
    const last = await suite.settle(transaction.read(), 900)
    expect([last.failure, last.signature?.startsWith('g-a')]).toEqual([undefined, true])
    await suite.settle(Promise.all([record('h1', 'read'), record('h1', 'read')]), 900)
    expect(operations.slice(-2).map(({ type, answer }) => [type, answer.failure])).toEqual(
      [['read', undefined], ['read', undefined]])
    expect(checkStaleReads(collectEvidence(operations, world.upstreams))).toEqual([])
  })
})
