import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'

/** Required time for a desired state to be in force on all hosts, in milliseconds. */
const IN_FORCE_MS = 3000

describe('a host whose long polls to the store hang', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])
  const versions = () => [...suite.world.hosts.values()].map(({ kernel }) => kernel.use('desiredState').current?.version)

  it('applies a desired state after a notification from a peer', async () => {
    suite.world.store.silenceFeeds('h2')
    suite.world.configure([MONEY, { ...MONEY, database: 'more' }])
    await suite.clock.tickAsync(IN_FORCE_MS / 2)
    expect(versions()).toEqual([2, 2, 2])
  })

  it('detects a draining upstream after a notification from a peer', async () => {
    suite.world.store.silenceFeeds('h2')
    const replica = suite.world.upstreams.all.get('g-b')!
    replica.draining = true
    suite.world.announce(replica)
    await suite.clock.tickAsync(IN_FORCE_MS / 2)
    const draining = [...suite.world.hosts.values()].map(({ kernel }) => kernel.use('directory').get('g-b')?.draining)
    expect(draining).toEqual([true, true, true])
  })

  it('needs no further full read while its long polls work', async () => {
    await suite.clock.tickAsync(500)
    const before = suite.world.store.lists('op')
    suite.world.configure([MONEY, { ...MONEY, database: 'more' }])
    await suite.clock.tickAsync(IN_FORCE_MS)
    expect(suite.world.store.lists('op') - before).toEqual(0)
  })
})
