import { equal, rejects } from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createHomeSelector } from '../../../src/entry/homes/home-choice.ts'
import { createForwarder } from '../../../src/entry/homes/pass-on.ts'
import { createUpstreamHealth, type UpstreamHealth } from '../../../src/entry/pools/upstream-health.ts'
import { createRetryBudget } from '../../../src/retries/retry-budget.ts'
import { shouldTryElsewhere } from '../../../src/entry/requests/second-try.ts'

const HOME = { name: 'h', process: 'h-1', address: '', port: 1, failureDomain: 'x', version: 1 }

describe('the second try of a late read', () => {
  let clock: Clock
  let healths: Map<string, UpstreamHealth>
  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']
    })
    healths = new Map(['u0', 'u1'].map((upstream) => [upstream, createUpstreamHealth()]))
  })
  afterEach(() => clock.uninstall())

  const targets = ['u0', 'u1'].map((upstream) => ({ upstream, failureDomain: 'x', slots: 4, draining: false }))

  /** Whether a read that was sent to `u1` is tried at `u0`. */
  function isTried (
    elapsedMs: number, { waitMs = 0, busy = 0, attempts = 1, budget = createRetryBudget(), leftMs = 500 } = {}
  ): boolean {
    const context = {
      leadership: { primaryOf: () => 'u0' },
      directory: { ofGroup: () => targets },
      pools: {
        outliersOf: () => new Set(),
        of: ({ upstream }: { upstream: string }) => ({
          health: healths.get(upstream)!, pool: { hasRoom: true, size: 1 }, queue: { running: 0, waiting: 0 }
        })
      },
      homes: { isHome: () => false, choose: () => HOME, inProgressAt: () => busy, waitAt: () => waitMs },
      retryBudget: budget,
      failureDomain: 'x',
      drainMs: 5000
    }
    const scope = { group: 'g', attempts, costMs: 20, priority: 1, deadline: { leftMs }, triedHomes: new Set() }
    const read = { scope, target: targets[1], position: {}, elapsedMs }
    return shouldTryElsewhere(context as never, read as never)
  }

  it('happens once, after several times the expected duration, and counts for the judgement of the slow upstream', () => {
    equal(isTried(70), false)
    equal(isTried(150, { attempts: 2 }), false)
    equal(healths.get('u1')!.outcomes.weight, 0)
    equal(isTried(150), true)
    equal(healths.get('u1')!.outcomes.slowness > 7, true)
  })

  // Guards against second tries that multiply an overload: then all upstreams are busy, or the budget is used up.
  it('does not happen without free capacity at the other upstream, without time or without budget', () => {
    equal(isTried(150, { waitMs: 5 }), false)
    equal(isTried(150, { busy: 4 }), false)
    equal(isTried(150, { leftMs: 30 }), false)
    healths.get('u0')!.recordFailure('silent')
    equal(isTried(150), false)
    healths.get('u0')!.recordAnswer()
    const budget = createRetryBudget()
    while (budget.tryWithdraw()) { /* uses up the budget */ }
    equal(isTried(150, { budget }), false)
  })

  // Guards against a home that is skipped, or counted as answering, because its upstream is slow.
  it('abandons the request at its home without a judgement of the home', async () => {
    const selector = createHomeSelector()
    const outcomes: string[] = []
    const waits: number[] = []
    const forward = createForwarder({
      selector,
      links: {
        request: async () => await new Promise((resolve) => { setTimeout(resolve, 400, { load: 1, leaving: false }) })
      },
      detector: {
        recordFailure: () => outcomes.push('failed'),
        probeWhileWaiting: (_home, _onSuspected, onCheck) => {
          const timer = setInterval(() => onCheck?.(), 150)
          return () => clearInterval(timer)
        }
      },
      count: (outcome) => outcomes.push(outcome),
      time: () => {}
    })
    const shouldAbandon = (elapsedMs: number): boolean => waits.push(elapsedMs) === 2
    const onLateReply = (): void => { outcomes.push('late') }
    const request = { upstream: 'u1', type: 'home-statement', body: {}, timeoutMs: 900, onLateReply }
    const forwarded = forward(HOME, { ...request, shouldAbandon })
    const rejected = rejects(forwarded, { entry: 'ConnectionLost', verdict: 'may-have-run' })
    await clock.tickAsync(320)
    await rejected
    await clock.tickAsync(500)
    equal(outcomes.join(), 'ConnectionLost,late')
    equal(waits.join(), '150,300')
    equal(Number.isFinite(selector.lastAnswerAt(HOME)), false)
    equal(selector.isSilent(HOME), false)
  })
})
