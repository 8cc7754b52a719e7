import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Elections } from '../../../src/mysql-proxy/failover/elections.ts'
import { promoteOnRequest } from '../../../src/mysql-proxy/failover/requested-promotion.ts'
import type { GroupView } from '../../../src/mysql-proxy/upstreams/group-view.ts'

type Outcome = Awaited<ReturnType<Elections['run']>>
type Request = Parameters<Elections['run']>[0]

const view = {
  name: 'g',
  upstreams: new Map([['a', {}], ['b', {}], ['c', {}]]),
  leadership: { term: 4, primary: 'a' },
  usablePrimary: {},
  replicaNames: ['b', 'c'],
  isAvailable: () => true,
  isDraining: () => false,
  lastKnownLogEnd: (name: string) => ({ term: 4, position: name === 'c' ? 9 : 7 })
} as unknown as GroupView

function createElections (...outcomes: Outcome[]): { requests: Request[], elections: Pick<Elections, 'run'> } {
  const requests: Request[] = []
  const run = async (request: Request): Promise<Outcome> => {
    requests.push(request)
    return outcomes.shift()!
  }
  return { requests, elections: { run } }
}

describe('a promotion that an operator requests', () => {
  it('takes the replica with the most advanced log when none is named', async () => {
    const { requests, elections } = createElections({ primary: 'c', mayHaveFenced: false, description: 'c is primary' })
    expect(await promoteOnRequest({ view, elections })).toEqual('c is primary')
    expect(requests.map(({ preferred, planned }) => [preferred, planned])).toEqual([['c', true]])
  })

  it('fails when another upstream than the named one leads then', async () => {
    const { elections } = createElections({ primary: 'a', mayHaveFenced: false, description: 'a is primary in term 5' })
    await expect(promoteOnRequest({ view, elections, upstream: 'b' })).toBeRejectedWith('a is primary in term 5')
  })

  // Guards against a group whose primary stays fenced after a change that failed half-way.
  it('elects the old primary again when the change failed half-way', async () => {
    const { requests, elections } = createElections(
      { mayHaveFenced: true, description: 'only 1 of 3 upstreams were fenced' },
      { primary: 'a', mayHaveFenced: false, description: 'a is primary in term 6' }
    )
    await expect(promoteOnRequest({ view, elections, upstream: 'b' })).toBeRejectedWith('only 1 of 3')
    expect(requests.map(({ preferred, planned }) => [preferred, planned])).toEqual([['b', true], ['a', false]])
  })
})
