import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { StatementAnswer } from '../../../src/entry/ports/index.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
const OWN: FakeRoute = { database: 'own', group: 'g', freshness: { type: 'session', maximumAgeMs: 2500 }, timeoutMs: 800 }

describe('a host without its own proof of freshness', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY, VIEW, OWN])
  const readOn = async (host: string, database: string): Promise<StatementAnswer> =>
    await suite.settle(suite.world.connect(host, database).read(), 900)
  /** Writes repeatedly on a host that reaches the primary. */
  const writeOn = async (host: string, times: number): Promise<void> => {
    for (let turn = 0; turn < times; turn++) {
      const { failure } = await suite.settle(suite.world.connect(host, 'money').write(), 250)
      expect(failure).toEqual(undefined)
    }
  }
  const cutPrimary = (host: string): void => { suite.world.upstreams.all.get('g-a')!.cutOff.add(host) }

  it('reads from replicas with proofs of its peers while it is cut off from the primary', async () => {
    cutPrimary('h3')
    await writeOn('h1', 12)
    for (const { database } of [VIEW, OWN]) {
      const { failure, rows } = await readOn('h3', database)
      expect(failure).toEqual(undefined)
      expect(rows[0]!.split(',').length >= 6).toEqual(true)
    }
  })

  it('reads from a replica right after its start', async () => {
    await writeOn('h1', 3)
    await suite.world.startHost('h4')
    await suite.clock.tickAsync(100)
    const runsBefore = suite.world.upstreams.runs.length
    expect((await readOn('h4', 'view')).failure).toEqual(undefined)
    expect(suite.world.upstreams.runs.slice(runsBefore).map(({ upstream }) => upstream === 'g-a')).toEqual([false])
  })

  it('obtains a new proof and reads the last write from a replica if no host has a recent proof', async () => {
    const { id } = await suite.settle(suite.world.connect('h1', 'money').write(), 250)
    await suite.clock.tickAsync(3000)
    const { failure, rows } = await readOn('h2', 'view')
    expect({ failure, rows }).toEqual({ failure: undefined, rows: [id] })
    expect(suite.world.upstreams.runs.at(-1)?.upstream === 'g-a').toEqual(false)
  })

  it('shares requests for a proof among concurrent reads, so that most of them avoid the primary', async () => {
    await suite.clock.tickAsync(3000)
    const runsBefore = suite.world.upstreams.runs.length
    const reads = await suite.settle(Promise.all(['h1', 'h2', 'h3'].flatMap((host) =>
      Array.from({ length: 20 }, async () => await suite.world.connect(host, 'view').read()))), 700)
    expect(reads.filter(({ failure }) => failure !== undefined)).toEqual([])
    const atPrimary = suite.world.upstreams.runs.slice(runsBefore).filter(({ upstream }) => upstream === 'g-a')
    // Without a proof all 60 reads would go to the primary; with one, it serves its share like the replicas.
    expect(atPrimary.length < 30).toEqual(true)
  })
})
