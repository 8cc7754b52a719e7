import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { StatementAnswer } from '../../../src/entry/ports/index.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
const OWN: FakeRoute = { database: 'own', group: 'g', freshness: { type: 'session', maximumAgeMs: 2500 }, timeoutMs: 800 }

describe('a host without a proof of freshness of its own', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY, VIEW, OWN])
  const readOn = async (host: string, database: string): Promise<StatementAnswer> =>
    await suite.settle(suite.world.connect(host, database).read(), 900)
  /** Keeps the primary in use through a host that reaches it. */
  const writeOn = async (host: string, times: number): Promise<void> => {
    for (let turn = 0; turn < times; turn++) {
      const { failure } = await suite.settle(suite.world.connect(host, 'money').write(), 250)
      expect(failure).toEqual(undefined)
    }
  }
  const cutPrimary = (host: string): void => { suite.world.upstreams.all.get('g-a')!.cutOff.add(host) }

  it('reads from replicas while it is cut off from the primary, by what its peers know', async () => {
    cutPrimary('h3')
    await writeOn('h1', 12)
    for (const { database } of [VIEW, OWN]) {
      const { failure, rows } = await readOn('h3', database)
      expect(failure).toEqual(undefined)
      expect(rows[0]!.split(',').length >= 6).toEqual(true)
    }
  })

  it('leaves the primary alone when it has just started', async () => {
    await writeOn('h1', 3)
    await suite.world.startHost('h4')
    await suite.clock.tickAsync(100)
    const before = suite.world.upstreams.runs.length
    expect((await readOn('h4', 'view')).failure).toEqual(undefined)
    expect(suite.world.upstreams.runs.slice(before).map(({ upstream }) => upstream === 'g-a')).toEqual([false])
  })

  it('has the primary asked where its log ends when nobody knows, and reads from a replica what was written', async () => {
    const { id } = await suite.settle(suite.world.connect('h1', 'money').write(), 250)
    await suite.clock.tickAsync(3000)
    const { failure, rows } = await readOn('h2', 'view')
    expect({ failure, rows }).toEqual({ failure: undefined, rows: [id] })
    expect(suite.world.upstreams.runs.at(-1)?.upstream === 'g-a').toEqual(false)
  })

  it('shares the question with all who need it, so that a crowd of reads leaves the primary alone', async () => {
    await suite.clock.tickAsync(3000)
    const before = suite.world.upstreams.runs.length
    const reads = await suite.settle(Promise.all(['h1', 'h2', 'h3'].flatMap((host) =>
      Array.from({ length: 20 }, async () => await suite.world.connect(host, 'view').read()))), 700)
    expect(reads.filter(({ failure }) => failure !== undefined)).toEqual([])
    const atPrimary = suite.world.upstreams.runs.slice(before).filter(({ upstream }) => upstream === 'g-a')
    // Without a proof all 60 would go there; with one, the primary takes its part like the replicas.
    expect(atPrimary.length < 30).toEqual(true)
  })
})
