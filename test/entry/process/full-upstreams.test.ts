/**
 * A primary that was slow and had all its connections in use was replaced by another one. A statement that it has not
 * answered for 300 ms has it probed, the probe needs a connection, and the refusal for want of room counted as if it
 * could not be reached: `upstream.no-report` with `too-many-connections`, then `leadership.reach` with `reached=0`. A
 * refusal is an answer, and counts as one now.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

/** Time of a statement at the slow primary, in milliseconds: longer than it may be silent without being probed. */
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
