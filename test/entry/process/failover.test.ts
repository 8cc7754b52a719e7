import { describe, it } from 'node:test'
import { expect } from 'earl'
import { findLeader, type Candidate } from '../../../src/entry/leadership/choose-successor.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

function candidate (upstream: string, role: 'primary' | 'replica', term: number): Candidate {
  const endpoint = { address: '127.0.0.1', port: 1 }
  return {
    upstream: { upstream, group: 'g', endpoint, failureDomain: 'x', slots: 3, draining: false, claimsPrimary: false },
    report: { role, term, received: { term, position: 1 } }
  }
}

describe('findLeader', () => {
  it('returns the upstream with the newest term after two promotions', () => {
    const leader = findLeader([candidate('a', 'primary', 3), candidate('c', 'primary', 4)], 2)
    expect(leader?.upstream.upstream).toEqual('c')
  })
  it('ignores primaries of the closed or an earlier term, and replicas', () => {
    expect(findLeader([candidate('a', 'primary', 2), candidate('b', 'replica', 5)], 2)).toEqual(undefined)
  })
})

describe('a deposed primary', () => {
  const suite = setUpWorld(['h1', 'h2'])

  it('is replaced by an upstream that was promoted by none of the hosts', async () => {
    const oldPrimary = suite.world.upstreams.all.get('g-a')!
    void suite.world.upstreams.promote('g-b', 'elsewhere', 9)
    await suite.clock.tickAsync(400)
    oldPrimary.role = 'replica'
    suite.world.announce(oldPrimary)
    await suite.clock.tickAsync(5000)
    const writing = suite.world.connect('h1', 'money').write()
    await suite.clock.tickAsync(300)
    expect((await writing).signature?.startsWith('g-b')).toEqual(true)
  })
})

describe('a failover whose epoch may not be open', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])

  it('is not reported as done when its last write was lost', async () => {
    const events: string[] = []
    let promoter = 'nobody'
    suite.world.logger = {
      log: (_level, event, fields) => {
        if (event === 'failover.ordered' && promoter === 'nobody') {
          promoter = String(fields?.['host'])
          setTimeout(() => { suite.world.store.cutOff.add(promoter) }, 20)
        }
        if (event === 'failover.done' || event === 'failover.not-opened') {
          events.push(`${event} ${fields?.['host'] === promoter ? 'at the promoter' : 'elsewhere'}`)
        }
      }
    }
    suite.world.upstreams.all.get('g-a')!.crash()
    void suite.world.connect('h1', 'money').write()
    await suite.clock.tickAsync(12_000)
    expect(events).toEqual(['failover.not-opened at the promoter', 'failover.done elsewhere'])
  })
})

describe('a failover whose host ends after its order', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])

  it('is finished by another one without waiting for the promotion lease', async () => {
    let endedAt = Infinity
    let doneAt = Infinity
    suite.world.logger = {
      log: (_level, event, fields) => {
        if (event === 'failover.ordered' && endedAt === Infinity) {
          endedAt = performance.now()
          const host = String(fields?.['host'])
          // What a killed host still runs in this process must not reach anything.
          suite.world.store.cutOff.add(host)
          suite.world.upstreams.all.forEach(({ cutOff }) => cutOff.add(host))
          void suite.world.kill(host)
        }
        doneAt = event === 'failover.done' ? Math.min(doneAt, performance.now()) : doneAt
      }
    }
    suite.world.upstreams.all.get('g-a')!.crash()
    void suite.world.connect('h1', 'money').write()
    await suite.clock.tickAsync(12_000)
    expect(doneAt - endedAt < 1500).toEqual(true)
    expect(suite.world.arrivedOrders.length).toEqual(1)
  })
})
