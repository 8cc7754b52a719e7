import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError, type Verdict } from '../../../src/core/errors/index.ts'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { createMemoryBudget } from '../../../src/core/memory/memory-budget.ts'
import { createSharedTexts } from '../../../src/core/memory/shared-texts.ts'
import { createSessionState } from '../../../src/entry/requests/session-state.ts'
import { createSessionTransaction } from '../../../src/entry/requests/session-transaction.ts'

/** Begins a read-only transaction through homes that fail; returns what became of its operation of the limit. */
async function countOperations (verdicts: Verdict[]) {
  const counted = { attempts: 0, retries: 0, refunds: 0 }
  const route = {
    group: 'g', database: 'd', priority: 0, targetMs: 200, timeoutMs: 1000, freshness: { type: 'bounded', maximumAgeMs: 100 }
  }
  const target = { upstream: 'u', group: 'g', slots: 5, failureDomain: 'x', draining: false }
  const health = { latencyMs: 1, recordAnswer: () => {}, recordLatency: () => {} }
  const budget = createMemoryBudget()
  const context = {
    logger: silentLogger,
    failureDomain: 'x',
    drainMs: 10_000,
    costs: { of: () => 1 },
    memory: { budget, texts: createSharedTexts(budget) },
    limits: {
      take: async () => performance.now(),
      refund: () => { counted.refunds++ },
      countRetry: () => { counted.retries++ }
    },
    freshness: { of: () => ({ floorSince: () => ({ term: 1, position: 1 }) }) },
    leadership: { primaryOf: () => undefined },
    directory: { ofGroup: () => [target] },
    pools: {
      of: () => ({ health, pool: { hasRoom: true, size: 1 }, queue: { running: 0, waiting: 0 } }),
      outliersOf: () => new Set()
    },
    homes: {
      isHome: () => false,
      waitAt: () => 0,
      choose: () => ({ name: `h${counted.attempts}` }),
      inProgressAt: () => 0,
      forward: async () => {
        const verdict = verdicts[counted.attempts++]!
        // A home that is overloaded ends the attempts.
        throw verdict === 'not-run'
          ? new RequestError(verdict, 'Overloaded', { group: 'g', reason: 'busy', retryAfterMs: 1 })
          : new RequestError(verdict, 'PeerUnavailable', { peer: 'h', reason: 'it does not answer' })
      }
    }
  }
  const state = { version: 1, routes: new Map([['d', route]]), organisations: new Map(), keys: new Map() }
  const session = createSessionState({
    context, link: { database: 'd', keyDigest: 'k' }, desiredState: () => state
  } as never)
  const transaction = createSessionTransaction(session)
  await transaction.begin(true)
  await transaction.execute({ requestId: 'r', access: 'read', type: 'data', text: 'x' })
  return counted
}

describe('the operation of a transaction that did not begin', () => {
  it('is refunded when no home has run its first statement', async () => {
    expect(await countOperations(['not-run'])).toEqual({ attempts: 1, retries: 0, refunds: 1 })
  })

  it('counts for each attempt that may have run, so that the limit is kept while homes are lost', async () => {
    const lost: Verdict = 'may-have-run'
    expect(await countOperations([lost, 'not-run'])).toEqual({ attempts: 2, retries: 1, refunds: 1 })
    expect(await countOperations(Array(6).fill(lost))).toEqual({ attempts: 6, retries: 5, refunds: 0 })
  })
})
