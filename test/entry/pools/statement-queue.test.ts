import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { RequestError } from '../../../src/core/errors/index.ts'
import { countHomes } from '../../../src/placement/upstream-homes.ts'
import { createStatementQueue, expectedWaitMs } from '../../../src/entry/pools/statement-queue.ts'

/** Kinds of statements: duration, mean interval between arrivals, and time limit for an answer. */
const KINDS = [
  { name: 'change', priority: 1, durationMs: 5, intervalMs: 27, limitMs: 120 },
  { name: 'own read', priority: 2, durationMs: 14, intervalMs: 9, limitMs: 200 },
  { name: 'look-up', priority: 2, durationMs: 22, intervalMs: 50, limitMs: 400 }
]
/** Statements without an organisation, whose target doesn't matter. */
const WITHOUT_TARGET = { organisation: '', dueInMs: -1 }
const SLOTS = 2
const SIMULATED_MS = 10_000
const SEED = 77

/** An upstream that runs a fixed number of statements concurrently, in order of arrival. */
class BusyUpstream {
  private free = SLOTS
  private readonly waiting: Array<() => void> = []

  async run (durationMs: number): Promise<void> {
    if (this.free === 0) {
      await new Promise<void>((resolve) => { this.waiting.push(resolve) })
    } else {
      this.free--
    }
    await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
    const next = this.waiting.shift()
    next === undefined ? this.free++ : next()
  }
}

/** Outcomes of the statements of one kind. */
interface Outcomes {
  asked: number
  inTime: number
  refused: number
  /** Longest time until a refusal, in milliseconds. */
  refusedAfterMs: number
}

describe('the statement queue of an upstream', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
  afterEach(() => { clock.uninstall() })

  /** Simulates a load of 1.15 times the capacity of the slots, with or without the queues of the homes. */
  const simulate = async (withQueues: boolean, homes = 2): Promise<Map<string, Outcomes>> => {
    const upstream = new BusyUpstream()
    const homeQueues = Array.from({ length: homes }, () => createStatementQueue({
      group: 'g', upstream: 'u', limits: () => ({ slots: SLOTS, homes })
    }))
    const random = xoroshiro128plus(SEED)
    const results = new Map(KINDS.map(({ name }) => [name, { asked: 0, inTime: 0, refused: 0, refusedAfterMs: 0 }]))
    const submit = async (
      { name, priority, durationMs, limitMs }: typeof KINDS[number], host: number
    ): Promise<void> => {
      const outcomes = results.get(name)!
      const startedAt = performance.now()
      outcomes.asked++
      try {
        const leave = withQueues
          ? await homeQueues[host]!.enter({ ...WITHOUT_TARGET, priority, costMs: durationMs, waitMs: limitMs / 2 })
          : (): void => {}
        await upstream.run(durationMs)
        leave()
        outcomes.inTime += performance.now() - startedAt <= limitMs ? 1 : 0
      } catch (thrown) {
        expect(thrown instanceof RequestError && thrown.verdict === 'not-run').toEqual(true)
        outcomes.refused++
        outcomes.refusedAfterMs = Math.max(outcomes.refusedAfterMs, performance.now() - startedAt)
      }
    }
    for (let elapsed = 0; elapsed < SIMULATED_MS; elapsed++) {
      KINDS.filter(({ intervalMs }) => uniformInt(random, 1, intervalMs) === 1)
        .forEach((kind) => { void submit(kind, uniformInt(random, 0, homes - 1)) })
      await clock.tickAsync(1)
    }
    await clock.tickAsync(2000)
    return results
  }
  const fractionInTime = (results: Map<string, Outcomes>): number => {
    const all = [...results.values()]
    return all.reduce((sum, { inTime }) => sum + inTime, 0) / all.reduce((sum, { asked }) => sum + asked, 0)
  }

  it('serves most statements in time under overload, unlike an upstream without queues', async () => {
    const without = await simulate(false)
    const withQueues = await simulate(true)
    expect(fractionInTime(without) < 0.5).toEqual(true)
    expect(fractionInTime(withQueues) > 0.85).toEqual(true)
    const urgent = withQueues.get('change')!
    expect(urgent.inTime / urgent.asked > 0.99).toEqual(true)
  })

  it('serves urgent statements in time at the computed number of homes, but not at many more', async () => {
    const few = (await simulate(true, countHomes(1000, SLOTS, 1000))).get('change')!
    const many = (await simulate(true, 11)).get('change')!
    expect(few.inTime / few.asked > 0.97).toEqual(true)
    expect(many.inTime / many.asked < 0.9).toEqual(true)
  })

  it('refuses statements early enough for the caller to try another host', async () => {
    const results = await simulate(true)
    for (const { name, limitMs } of KINDS) {
      expect(results.get(name)!.refusedAfterMs <= limitMs / 2 + 1).toEqual(true)
    }
  })

  it('refuses at once if the expected wait exceeds the maximum, and returns the excess as retryAfterMs', async () => {
    const statementQueue = createStatementQueue({ group: 'g', upstream: 'u', limits: () => ({ slots: 1, homes: 1 }) })
    const enter = async (waitMs: number): Promise<() => void> =>
      await statementQueue.enter({ ...WITHOUT_TARGET, priority: 1, costMs: 100, waitMs })
    await enter(1000)
    await enter(1000)
    for (let count = 0; count < 3; count++) {
      void enter(5000)
    }
    const startedAt = performance.now()
    const refusal = await enter(200).catch((thrown: unknown) => thrown as RequestError<'Overloaded'>)
    expect(performance.now()).toEqual(startedAt)
    expect((refusal as RequestError<'Overloaded'>).details).toEqual({
      group: 'g', reason: '3 statements wait for u before it', retryAfterMs: 100
    })
  })

  it('admits the next statement when one has ended, by priority, then by expected duration', async () => {
    const statementQueue = createStatementQueue({ group: 'g', upstream: 'u', limits: () => ({ slots: 1, homes: 2 }) })
    const first = await statementQueue.enter({ ...WITHOUT_TARGET, priority: 1, costMs: 10, waitMs: 100 })
    await statementQueue.enter({ ...WITHOUT_TARGET, priority: 1, costMs: 10, waitMs: 100 })
    const order: string[] = []
    const queue = (name: string, priority: number, costMs: number): void => {
      void statementQueue.enter({ ...WITHOUT_TARGET, priority, costMs, waitMs: 1000 }).then((leave) => {
        order.push(name)
        leave()
      })
    }
    queue('long', 2, 30)
    queue('short', 2, 5)
    queue('urgent', 0, 90)
    queue('open', -1, 90)
    await clock.tickAsync(1)
    first()
    await clock.tickAsync(10)
    expect(order).toEqual(['open', 'urgent', 'short', 'long'])
    expect({ running: statementQueue.running, waiting: statementQueue.waiting }).toEqual({ running: 1, waiting: 0 })
  })

  it('divides the durations of the statements ahead by the slots of the host', () => {
    expect(expectedWaitMs(30, { slots: 4, homes: 2 })).toEqual(15)
    expect(expectedWaitMs(30, { slots: 1, homes: 3 })).toEqual(30)
    expect(expectedWaitMs(0, { slots: 1, homes: 0 })).toEqual(0)
  })
})
