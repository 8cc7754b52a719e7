/**
 * Guards against replacing a slow primary because a probe is refused for lack of connections: a refusal is an answer.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

/** Duration of a statement at the slow primary, in milliseconds; longer than it may be silent without a probe. */
const SLOW_MS = 700

describe('a slow primary whose connections are all in use', () => {
  const HOSTS = ['h1', 'h2', 'h3']
  const suite = setUpWorld(HOSTS)

  it('is not replaced', async () => {
    await suite.settle(Promise.all(HOSTS.map(async (host) => await suite.world.connect(host, 'money').write())), 200)
    const primary = suite.world.upstreams.all.get('g-a')!
    primary.workMs = SLOW_MS
    primary.maximumConnections = primary.connections.size
    const reached: number[] = []
    suite.world.logger = {
      log: (_level, event, fields) => {
        if (event === 'leadership.reach') {
          reached.push(Number(fields?.['reached']))
        }
      }
    }
    for (let turn = 0; turn < 40; turn++) {
      HOSTS.forEach((host) => { void suite.world.connect(host, 'money').write() })
      await suite.clock.tickAsync(100)
    }
    await suite.clock.tickAsync(1000)
    expect(suite.world.upstreams.promotions).toEqual([])
    expect(reached.filter((hosts) => hosts === 0)).toEqual([])
  })
})
