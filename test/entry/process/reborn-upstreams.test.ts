import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { MONEY } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = {
  database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800
}

describe('an upstream that restarts under its name without data', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'], [MONEY, VIEW])
  const { settle } = suite
  const writeSeveral = async (): Promise<string[]> => {
    const ids: string[] = []
    for (let turn = 0; turn < 12; turn++) {
      const answer = await settle(suite.world.connect(`h${turn % 3 + 1}`, 'money').write(), 60)
      expect(answer.failure).toEqual(undefined)
      ids.push(answer.id)
    }
    return ids
  }
  /** Returns the number of answered reads on all hosts that lack an acknowledged write. */
  const countStaleReads = async (database: string, acknowledged: string[], turns: number): Promise<number> => {
    let staleReads = 0
    for (let turn = 0; turn < turns; turn++) {
      const answer = await settle(suite.world.connect(`h${turn % 3 + 1}`, database).read(), 900)
      const rows = answer.rows[0]?.split(',') ?? []
      staleReads += answer.failure === undefined && !acknowledged.every((id) => rows.includes(id)) ? 1 : 0
    }
    return staleReads
  }

  it('serves no stale read as a replica that hosts still take for the primary', async () => {
    const acknowledged = await writeSeveral()
    suite.world.upstreams.restartEmpty(suite.world.upstreams.all.get('g-a')!, 'replica')
    // The restart is not announced, so hosts still take the upstream for the primary.
    expect(await countStaleReads('money', acknowledged, 12)).toEqual(0)
  })

  it('serves no stale read while it still claims to be the primary', async () => {
    const acknowledged = await writeSeveral()
    suite.world.upstreams.restartEmpty(suite.world.upstreams.all.get('g-a')!, 'primary')
    expect(await countStaleReads('money', acknowledged, 12)).toEqual(0)
  })

  it('serves no stale read as a replica', async () => {
    const acknowledged = await writeSeveral()
    await suite.clock.tickAsync(1600)
    await countStaleReads('view', acknowledged, 6)
    suite.world.upstreams.restartEmpty(suite.world.upstreams.all.get('g-b')!, 'replica')
    expect(await countStaleReads('view', acknowledged, 18)).toEqual(0)
  })

  it('is replaced as the primary by an upstream with all acknowledged writes', async () => {
    const acknowledged = await writeSeveral()
    const primary = suite.world.upstreams.all.get('g-a')!
    await suite.clock.tickAsync(100)
    suite.world.upstreams.restartEmpty(primary, 'primary')
    suite.world.announce(primary)
    await suite.clock.tickAsync(3000)
    const written = await settle(suite.world.connect('h1', 'money').write(), 200)
    expect([written.failure, written.signature?.startsWith('g-a')]).toEqual([undefined, false])
    expect(await countStaleReads('money', [...acknowledged, written.id], 6)).toEqual(0)
  })
})
