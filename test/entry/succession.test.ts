import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { findLeader, type Candidate } from '../../src/leadership/succession.ts'
import { useFakeFleet, World } from '../fixtures/fleet/world.ts'

function candidate (upstream: string, role: 'primary' | 'replica', term: number): Candidate {
  const endpoint = { address: '127.0.0.1', port: 1 }
  return {
    upstream: { upstream, group: 'g', endpoint, failureDomain: 'x', slots: 3, draining: false, claimsPrimary: false },
    report: { role, term, received: { term, position: 1 } }
  }
}

describe('finding who leads already', () => {
  it('takes the newest term when two promotions took effect', () => {
    const leader = findLeader([candidate('a', 'primary', 3), candidate('c', 'primary', 4)], 2)
    expect(leader?.upstream.upstream).toEqual('c')
  })
  it('takes no primary of the closed term or before, and no replica', () => {
    expect(findLeader([candidate('a', 'primary', 2), candidate('b', 'replica', 5)], 2)).toEqual(undefined)
  })
})

describe('a primary that was deposed', () => {
  let clock: Clock
  let world: World
  beforeEach(async () => {
    useFakeFleet()
    clock = fakeTimers.install()
    world = new World()
    world.addGroup('g')
    world.configure([{ database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 800 }])
    await world.startHost('h1')
    await world.startHost('h2')
    await clock.tickAsync(3000)
  })
  afterEach(async () => {
    const closing = world.close()
    await clock.tickAsync(1000)
    await closing
    clock.uninstall()
  })

  it('is left for the one that leads, also when none of the hosts ordered it', async () => {
    const old = world.upstreams.all.get('g-a')!
    void world.upstreams.promote('g-b', 'elsewhere', 9)
    await clock.tickAsync(400)
    old.role = 'replica'
    world.announce(old)
    await clock.tickAsync(5000)
    const writing = world.connect('h1', 'money').write()
    await clock.tickAsync(300)
    expect((await writing).signature?.startsWith('g-b')).toEqual(true)
  })
})
