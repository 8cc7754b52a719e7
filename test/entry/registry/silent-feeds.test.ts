import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'

/** Time within which a desired state must be in force, in milliseconds; the users' bound. */
const IN_FORCE_MS = 3000

describe('a host whose open connections to the store went silent', () => {
  const suite = setUpWorld(['h1', 'h2', 'h3'])
  const versions = () => [...suite.world.hosts.values()].map(({ kernel }) => kernel.use('desiredState').current?.version)

  it('has a desired state in force as soon as peers notify it that there is one', async () => {
    suite.world.store.silenceFeeds('h2')
    suite.world.configure([MONEY, { ...MONEY, database: 'more' }])
    await suite.clock.tickAsync(IN_FORCE_MS / 2)
    expect(versions()).toEqual([2, 2, 2])
  })

  it('sees an upstream leave as soon as peers notify it', async () => {
    suite.world.store.silenceFeeds('h2')
    const replica = suite.world.upstreams.all.get('g-b')!
    replica.draining = true
    suite.world.announce(replica)
    await suite.clock.tickAsync(IN_FORCE_MS / 2)
    const seen = [...suite.world.hosts.values()].map(({ kernel }) => kernel.use('directory').get('g-b')?.draining)
    expect(seen).toEqual([true, true, true])
  })

  it('asks the store nothing more when its feeds work', async () => {
    await suite.clock.tickAsync(500)
    const before = suite.world.store.lists('op')
    suite.world.configure([MONEY, { ...MONEY, database: 'more' }])
    await suite.clock.tickAsync(IN_FORCE_MS)
    expect(suite.world.store.lists('op') - before).toEqual(0)
  })
})
