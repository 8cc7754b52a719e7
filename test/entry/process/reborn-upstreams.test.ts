import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { MONEY } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = {
  database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800
}

describe('an upstream that starts again under its name and holds nothing', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY, VIEW])
  const { settle } = suite
  const writeSome = async (): Promise<string[]> => {
    const ids: string[] = []
    for (let turn = 0; turn < 12; turn++) {
      const answer = await settle(suite.world.connect(`h${turn % 3 + 1}`, 'money').write(), 60)
      expect(answer.failure).toEqual(undefined)
      ids.push(answer.id)
    }
    return ids
  }
  /** Reads of all hosts that were answered, and that lacked something that had been acknowledged. */
  const readsThatLack = async (database: string, acknowledged: string[], turns: number): Promise<number> => {
    let lacking = 0
    for (let turn = 0; turn < turns; turn++) {
      const answer = await settle(suite.world.connect(`h${turn % 3 + 1}`, database).read(), 900)
      const rows = answer.rows[0]?.split(',') ?? []
      lacking += answer.failure === undefined && !acknowledged.every((id) => rows.includes(id)) ? 1 : 0
    }
    return lacking
  }

  it('serves no read before it has what the read must find, as a primary', async () => {
    const acknowledged = await writeSome()
    suite.world.upstreams.rebear(suite.world.upstreams.all.get('g-a')!, 'replica')
    // Its row is late, and hosts still take it for the primary.
    expect(await readsThatLack('money', acknowledged, 12)).toEqual(0)
  })

  it('serves no read before it has what the read must find, when it still takes itself for the primary', async () => {
    const acknowledged = await writeSome()
    suite.world.upstreams.rebear(suite.world.upstreams.all.get('g-a')!, 'primary')
    expect(await readsThatLack('money', acknowledged, 12)).toEqual(0)
  })

  it('serves no read before it has what the read must find, as a replica', async () => {
    const acknowledged = await writeSome()
    await suite.clock.tickAsync(1600)
    await readsThatLack('view', acknowledged, 6)
    suite.world.upstreams.rebear(suite.world.upstreams.all.get('g-b')!, 'replica')
    expect(await readsThatLack('view', acknowledged, 18)).toEqual(0)
  })

  it('is replaced at once as a primary, by one that has what was acknowledged', async () => {
    const acknowledged = await writeSome()
    const primary = suite.world.upstreams.all.get('g-a')!
    await suite.clock.tickAsync(100)
    suite.world.upstreams.rebear(primary, 'primary')
    suite.world.announce(primary)
    await suite.clock.tickAsync(3000)
    const written = await settle(suite.world.connect('h1', 'money').write(), 200)
    expect([written.failure, written.signature?.startsWith('g-a')]).toEqual([undefined, false])
    expect(await readsThatLack('money', [...acknowledged, written.id], 6)).toEqual(0)
  })
})
