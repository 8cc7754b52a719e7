import { describe, it } from 'node:test'
import { expect } from 'earl'
import { homesOf } from '../../../src/placement/upstream-homes.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import { FAKE_CAP, FAKE_DOMAIN, FAKE_SLOTS, type FakeCaller } from '../../fixtures/fleet/world.ts'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
/** Number of transactions that other callers begin after the restart; enough for one at each home. */
const LATER_TRANSACTIONS = 6

describe('a transaction whose home was restarted', () => {
  const suite = setUpWorld(HOSTS)
  const placed = { upstream: 'g-a', failureDomain: FAKE_DOMAIN, slots: FAKE_SLOTS }
  const homes = homesOf(placed, HOSTS.map((name) => ({ name, failureDomain: FAKE_DOMAIN })), FAKE_CAP)
    .map(({ name }) => name)
  const other = HOSTS.find((name) => !homes.includes(name))!
  const beginAndWrite = async (): Promise<{ caller: FakeCaller, id: string }> => {
    const caller = suite.world.connect(other, 'money')
    await suite.settle(caller.send({ type: 'begin', readOnly: false }), 10)
    return { caller, id: (await suite.settle(caller.write(), 200)).id }
  }

  // The restarted process has forgotten the transaction, and gives its number to another caller's.
  it('does not continue in the transaction of another caller', async () => {
    const { world, clock } = suite
    const { caller } = await beginAndWrite()
    const killed = Promise.all(homes.map(async (home) => await world.kill(home)))
    await suite.settle(killed, 20)
    homes.forEach((home) => { void world.startHost(home) })
    await clock.tickAsync(700)
    const others: string[] = []
    for (let turn = 0; turn < LATER_TRANSACTIONS; turn++) {
      others.push((await beginAndWrite()).id)
    }
    const { id } = await suite.settle(caller.write(), 400)
    const committed = await suite.settle(caller.send({ type: 'commit', text: 'COMMIT' }), 400)
    const connectionsOf = (ids: string[]): number[] =>
      world.upstreams.runs.filter(({ requestId }) => ids.includes(requestId)).map(({ connection }) => connection)
    expect({
      shared: connectionsOf([id]).filter((connection) => connectionsOf(others).includes(connection)).length,
      committed: world.upstreams.all.get('g-a')!.log.length,
      failure: committed.failure?.kind
    }).toEqual({ shared: 0, committed: 0, failure: 'aborted' })
  })
})
