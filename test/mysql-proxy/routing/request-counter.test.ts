/**
 * A home counted each request for its retry budget before it knew the outcome, so that refusals refilled the budget as
 * much as answers did. At ten times what a home can serve, retries came to twice what it served.
 */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { createGroupCounts } from '../../../src/mysql-proxy/routing/group-counts.ts'
import { createHomeRequests } from '../../../src/mysql-proxy/routing/home-requests.ts'
import { createRequestCounter } from '../../../src/mysql-proxy/routing/request-counter.ts'
import type { HomeReply, HomeRequest } from '../../../src/mysql-proxy/routing/types.ts'
import type { Membership } from '../../../src/mysql-proxy/membership/index.ts'
import type { Member } from '../../../src/mysql-proxy/membership/types.ts'
import { EMPTY_ANSWER } from '../../../src/mysql/types.ts'
import type { Peers } from '../../../src/peers/index.ts'
import { NOTHING_SEEN } from '../../../src/positions/position.ts'
import { createRetryBudget } from '../../../src/retries/retry-budget.ts'

/** Retries of a budget that nothing has used yet. */
const GREATEST_BALANCE = 100
/** Requests that are sent, and each how many of them is served. */
const OFFERED = 5000
const SERVED_ONE_IN = 10

const READ: HomeRequest = {
  type: 'execute', group: 'g', service: 's', deadlineMs: 1000, statement: { sql: 'SELECT' }, floor: NOTHING_SEEN, readIndex: false
}
const OVERLOADED = new RequestError('not-run', 'Overloaded', { group: 'g', reason: 'full', retryAfterMs: 5 })

const memberOf = (host: string): Member => ({
  host, role: 'proxy', failureDomain: host, address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live'
})

/** A home that serves one request in ten, and asks its budget for a retry of each other one. */
function createOverloadedHome () {
  const budget = createRetryBudget()
  const counts = createGroupCounts()
  const seen = { requests: 0, retries: 0 }
  const counter = createRequestCounter({
    budget,
    counts,
    handle: async (): Promise<HomeReply> => {
      seen.requests++
      if (seen.requests % SERVED_ONE_IN === 0) {
        return { answer: EMPTY_ANSWER }
      }
      seen.retries += budget.tryWithdraw() ? 1 : 0
      throw OVERLOADED
    }
  })
  return { counter, counts, seen, budget }
}

/** Sends requests from a proxy that is the home itself, or that passes them on to it. */
function senderTo (serve: (request: HomeRequest) => Promise<HomeReply>, isHome: boolean) {
  const home = memberOf('home')
  const membership = {
    self: isHome ? home : memberOf('entry'), answers: () => true, reportFailure: () => {}, known: () => [home]
  } as unknown as Membership
  const peers = {
    request: async (_member: Member, _type: string, body: unknown) => await serve(body as HomeRequest)
  } as unknown as Peers
  return createHomeRequests({ membership, peers, homesOf: () => [home], serveHere: serve })
}

describe('the requests that a home counts', () => {
  for (const [whose, isHome] of [['its own callers', true], ['other proxies', false]] as const) {
    it(`bound the retries by a fifth of what is served, for requests of ${whose}`, async () => {
      const { counter, counts, seen } = createOverloadedHome()
      const sender = senderTo(counter.serve, isHome)
      for (let request = 0; request < OFFERED; request++) {
        await sender.send(READ).catch(() => {})
      }
      const served = OFFERED / SERVED_ONE_IN
      expect(counts.refused).toEqual(OFFERED - served)
      expect(seen.retries <= GREATEST_BALANCE + served / 5).toEqual(true)
      expect(counter.inProgress).toEqual(0)
    })
  }

  it('refill the budget when they are served, so that a home which has used it up sends retries again', async () => {
    const budget = createRetryBudget()
    while (budget.tryWithdraw()) {
      // Uses up what there was.
    }
    const counter = createRequestCounter({
      budget, counts: createGroupCounts(), handle: async () => ({ answer: EMPTY_ANSWER })
    })
    for (let request = 0; request < 50; request++) {
      await counter.serve(READ)
    }
    expect(budget.balance).toEqual(10)
  })

  it('refill nothing when they ask no upstream for work', async () => {
    const budget = createRetryBudget()
    while (budget.tryWithdraw()) {
      // Uses up what there was.
    }
    const counter = createRequestCounter({
      budget, counts: createGroupCounts(), handle: async () => ({ answer: EMPTY_ANSWER })
    })
    for (let request = 0; request < 50; request++) {
      await counter.serve({ type: 'rollback', group: 'g', transactionId: 't', service: 's', deadlineMs: 10 } as HomeRequest)
    }
    expect(budget.balance).toEqual(0)
  })
})
