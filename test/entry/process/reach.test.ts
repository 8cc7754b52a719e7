import { describe, it } from 'node:test'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { createReachabilityCheck } from '../../../src/entry/leadership/reach-questions.ts'
import { countAnswers, shouldReplacePrimary, type ReachAnswer } from '../../../src/entry/leadership/reach.ts'
import type { KnownUpstream } from '../../../src/entry/directory/index.ts'
import type { UpstreamResources } from '../../../src/entry/pools/index.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'
import { PeerRefusedConnection } from '../../../src/peers/refusal.ts'

const never = new Promise<ReachAnswer>(() => {})
const decide = async (answers: ReachAnswer[], pending: Array<Promise<ReachAnswer>> = []): Promise<boolean> =>
  shouldReplacePrimary(await countAnswers([...answers.map(async (answer) => answer), ...pending]))

describe('the answers of hosts whether they reach a primary', () => {
  it('are not awaited once they cannot change the decision', async () => {
    expect(await decide(['lost', 'lost', 'lost'], [never])).toEqual(true)
    expect(await decide(['lost', 'reached', 'reached', 'reached'], [never])).toEqual(false)
  })
  it('keep the primary if more hosts are silent than have lost it', async () => {
    expect(await decide(['lost', 'silent', 'silent'])).toEqual(false)
    expect(await decide(['lost', 'lost', 'silent'])).toEqual(true)
  })
  it('count as silent if the request fails', async () => {
    const failing = new Promise<ReachAnswer>((_resolve, reject) => { setImmediate(reject, new Error('broken')) })
    expect(await decide(['lost', 'silent'], [failing])).toEqual(false)
  })
  it('keep a primary that most hosts reach', async () => {
    expect(await decide(['lost', 'reached', 'reached'])).toEqual(false)
  })
})

type PeerAnswer = 'reached' | 'lost' | 'refuses'

describe('a host that asks others whether they reach a primary', () => {
  /** Decision of a host that has lost the primary, by the answers of its peers. */
  const decideFor = async (answerOf: Map<string, PeerAnswer>, homes: string[] = []): Promise<boolean> => {
    const hosts = [...answerOf.keys()].map((name) => ({ name }) as KnownHost)
    const upstream = { upstream: 'g-a', group: 'g' } as KnownUpstream
    const check = createReachabilityCheck({
      registry: { peers: () => hosts },
      directory: { get: () => upstream },
      pools: {
        of: () => ({ health: { lastAnswerAt: -Infinity } }) as UpstreamResources,
        probe: async () => undefined
      },
      homes: { of: () => hosts.filter(({ name }) => homes.includes(name)) },
      peers: {
        handle: () => {},
        requestOrDisconnect: async (endpoint) => {
          const { name } = endpoint as KnownHost
          const answer = answerOf.get(name)!
          if (answer === 'refuses') {
            throw new PeerRefusedConnection(name, 'connect ECONNREFUSED')
          }
          return { reached: answer === 'reached' }
        }
      },
      logger: silentLogger
    })
    return await check.isLost('g', 'g-a')
  }
  const namesOf = (prefix: string, count: number): string[] =>
    Array.from({ length: count }, (_, index) => `${prefix}${index}`)
  const isLost = async (lost: number, refusing: number): Promise<boolean> => await decideFor(new Map([
    ...namesOf('lost', lost).map((name): [string, PeerAnswer] => [name, 'lost']),
    ...namesOf('refusing', refusing).map((name): [string, PeerAnswer] => [name, 'refuses'])
  ]))
  const isLostWithHomes = async (
    { silentHomes, reachingHomes = 0, silent, answering }:
    { silentHomes: number, reachingHomes?: number, silent: number, answering: number }
  ): Promise<boolean> => {
    const homes = [...namesOf('silent home ', silentHomes), ...namesOf('home ', reachingHomes)]
    return await decideFor(new Map([
      ...homes.map((name): [string, PeerAnswer] => [name, name.startsWith('silent') ? 'refuses' : 'reached']),
      ...namesOf('silent ', silent).map((name): [string, PeerAnswer] => [name, 'refuses']),
      ...namesOf('other ', answering).map((name): [string, PeerAnswer] => [name, 'lost'])
    ]), homes)
  }

  it('counts a peer that refuses connections as silent', async () => {
    expect(await isLost(0, 2)).toEqual(false)
    expect(await isLost(1, 3)).toEqual(false)
    expect(await isLost(1, 2)).toEqual(true)
  })

  // Guards against a sample of hosts of one failure domain that have ended together with their primary.
  it('asks the other hosts whether they run if only silent homes keep the primary', async () => {
    expect(await isLostWithHomes({ silentHomes: 6, silent: 2, answering: 15 })).toEqual(true)
    expect(await isLostWithHomes({ silentHomes: 6, silent: 6, answering: 11 })).toEqual(true)
    expect(await isLostWithHomes({ silentHomes: 6, silent: 8, answering: 9 })).toEqual(false)
  })

  it('keeps a primary that other homes reach, although further hosts answer', async () => {
    expect(await isLostWithHomes({ silentHomes: 4, reachingHomes: 4, silent: 0, answering: 15 })).toEqual(false)
  })
})
