import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../fixtures/fleet/set-up.ts'
import { MESSAGES } from './message-examples.ts'

/** Types of messages between entry processes. */
const TYPES = [
  'close-group', 'extend', 'freshness-proofs', 'home-alive', 'home-rollback', 'home-statement', 'home-step',
  'limit-return', 'limit-take', 'neighbour', 'reach', 'registry-nudge', 'registry-snapshot', 'table-changes', 'table-news'
]

/** Whether the schema of a handler accepted a message. */
type Taking = 'accepted' | 'refused'

describe('an entry process', () => {
  const suite = setUpWorld(['h1', 'h2'])
  const takingOf = async (type: string, body: unknown): Promise<Taking> => {
    const handle = suite.world.hosts.get('h1')!.handlers.get(type)!
    const taking = handle(body, suite.world.linkBetween('h2', 'h1')).then((): Taking => 'accepted', (thrown: Error) =>
      thrown.name === 'ZodError' ? 'refused' : 'accepted')
    return await suite.settle(taking, 4000)
  }

  it('handles exactly these message types', () => {
    expect([...suite.world.hosts.get('h1')!.handlers.keys()].sort()).toEqual(TYPES)
    expect(Object.keys(MESSAGES).sort()).toEqual(TYPES)
  })

  for (const [type, { questions, refused }] of Object.entries(MESSAGES)) {
    it(`accepts valid requests of type ${type} and rejects invalid ones`, async () => {
      const takings: Taking[] = []
      for (const body of [...questions, ...refused]) {
        takings.push(await takingOf(type, body))
      }
      expect(takings).toEqual([...questions.map((): Taking => 'accepted'), ...refused.map((): Taking => 'refused')])
    })
  }
})
