/** Guards against refused requests that refill the retry budget, so that retries grow with an overload. */
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

/** Balance of a new retry budget, in retries. */
const INITIAL_BALANCE = 100
/** Number of requests sent, of which one in `SERVED_ONE_IN` is served. */
const SENT_REQUESTS = 5000
const SERVED_ONE_IN = 10

const READ: HomeRequest = {
  type: 'execute', group: 'g', service: 's', deadlineMs: 1000, statement: { sql: 'SELECT' }, floor: NOTHING_SEEN, readIndex: false
}
const OVERLOADED = new RequestError('not-run', 'Overloaded', { group: 'g', reason: 'full', retryAfterMs: 5 })

const createMember = (host: string): Member => ({
  host, role: 'proxy', failureDomain: host, address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live'
})

/** Creates a home that serves one request in ten and takes a retry from its budget for every other request. */
function createOverloadedHome () {
  const budget = createRetryBudget()
  const counts = createGroupCounts()
  const observed = { requests: 0, retries: 0 }
  const counter = createRequestCounter({
    budget,
    counts,
    handle: async (): Promise<HomeReply> => {
      observed.requests++
      if (observed.requests % SERVED_ONE_IN === 0) {
        return { answer: EMPTY_ANSWER }
      }
      observed.retries += budget.tryWithdraw() ? 1 : 0
      throw OVERLOADED
    }
  })
  return { counter, counts, observed, budget }
}

/** Creates a sender in the home's own process, or in another proxy that forwards requests to the home. */
function createSender (serve: (request: HomeRequest) => Promise<HomeReply>, isHome: boolean) {
  const home = createMember('home')
  const membership = {
    self: isHome ? home : createMember('entry'), answers: () => true, reportFailure: () => {}, known: () => [home]
  } as unknown as Membership
  const peers = {
    request: async (_member: Member, _type: string, body: unknown) => await serve(body as HomeRequest)
  } as unknown as Peers
  return createHomeRequests({ membership, peers, homesOf: () => [home], serveLocally: serve })
}

describe('createRequestCounter', () => {
  for (const [source, isHome] of [['its own callers', true], ['other proxies', false]] as const) {
    it(`limits retries to a fifth of the served requests, for requests from ${source}`, async () => {
      const { counter, counts, observed } = createOverloadedHome()
      const sender = createSender(counter.serve, isHome)
      for (let request = 0; request < SENT_REQUESTS; request++) {
        await sender.send(READ).catch(() => {})
      }
      const served = SENT_REQUESTS / SERVED_ONE_IN
      expect(counts.refused).toEqual(SENT_REQUESTS - served)
      expect(observed.retries <= INITIAL_BALANCE + served / 5).toEqual(true)
      expect(counter.inProgress).toEqual(0)
    })
  }

  it('refills an exhausted budget with served requests', async () => {
    const budget = createRetryBudget()
    while (budget.tryWithdraw()) {
      // Exhausts the budget.
    }
    const counter = createRequestCounter({
      budget, counts: createGroupCounts(), handle: async () => ({ answer: EMPTY_ANSWER })
    })
    for (let request = 0; request < 50; request++) {
      await counter.serve(READ)
    }
    expect(budget.balance).toEqual(10)
  })

  it('does not refill the budget with rollbacks', async () => {
    const budget = createRetryBudget()
    while (budget.tryWithdraw()) {
      // Exhausts the budget.
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
