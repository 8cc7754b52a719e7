import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { RequestError } from '../../../src/core/errors/index.ts'
import { countHomes } from '../../../src/placement/upstream-homes.ts'
import { createStatementQueue, expectedWaitMs } from '../../../src/entry/pools/statement-queue.ts'

/** Kinds of statements: the work of one, how often it comes, and the time for an answer in time. */
const KINDS = [
  { name: 'change', priority: 1, workMs: 5, everyMs: 27, inTimeMs: 120 },
  { name: 'own read', priority: 2, workMs: 14, everyMs: 9, inTimeMs: 200 },
  { name: 'look-up', priority: 2, workMs: 22, everyMs: 50, inTimeMs: 400 }
]
const SLOTS = 2
const PLAYED_MS = 10_000
const SEED = 77

/** An upstream that runs a few statements at a time, in the order in which they come. */
class BusyUpstream {
  private free = SLOTS
  private readonly line: Array<() => void> = []

  async run (workMs: number): Promise<void> {
    if (this.free === 0) {
      await new Promise<void>((resolve) => { this.line.push(resolve) })
    } else {
      this.free--
    }
    await new Promise<void>((resolve) => { setTimeout(resolve, workMs) })
    const next = this.line.shift()
    next === undefined ? this.free++ : next()
  }
}

/** What callers of one kind got. */
interface Got {
  asked: number
  inTime: number
  refused: number
  /** Longest time after which anyone was refused, in milliseconds. */
  refusedAfterMs: number
}

describe('the statement queue of an upstream', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
  afterEach(() => { clock.uninstall() })

  /** Plays 1.15 times the work that the slots can do, through the queues of some hosts or without any. */
  const play = async (withGates: boolean, homes = 2): Promise<Map<string, Got>> => {
    const upstream = new BusyUpstream()
    const homeQueues = Array.from({ length: homes }, () => createStatementQueue({
      group: 'g', upstream: 'u', limits: () => ({ slots: SLOTS, homes })
    }))
    const random = xoroshiro128plus(SEED)
    const got = new Map(KINDS.map(({ name }) => [name, { asked: 0, inTime: 0, refused: 0, refusedAfterMs: 0 }]))
    const ask = async ({ name, priority, workMs, inTimeMs }: typeof KINDS[number], host: number): Promise<void> => {
      const mine = got.get(name)!
      const startedAt = performance.now()
      mine.asked++
      try {
        const leave = withGates
          ? await homeQueues[host]!.enter({ priority, costMs: workMs, waitMs: inTimeMs / 2 })
          : (): void => {}
        await upstream.run(workMs)
        leave()
        mine.inTime += performance.now() - startedAt <= inTimeMs ? 1 : 0
      } catch (thrown) {
        expect(thrown instanceof RequestError && thrown.verdict === 'not-run').toEqual(true)
        mine.refused++
        mine.refusedAfterMs = Math.max(mine.refusedAfterMs, performance.now() - startedAt)
      }
    }
    for (let elapsed = 0; elapsed < PLAYED_MS; elapsed++) {
      KINDS.filter(({ everyMs }) => uniformInt(random, 1, everyMs) === 1)
        .forEach((kind) => { void ask(kind, uniformInt(random, 0, homes - 1)) })
      await clock.tickAsync(1)
    }
    await clock.tickAsync(2000)
    return got
  }
  const shareInTime = (got: Map<string, Got>): number => {
    const all = [...got.values()]
    return all.reduce((sum, { inTime }) => sum + inTime, 0) / all.reduce((sum, { asked }) => sum + asked, 0)
  }

  it('serves most callers in time under more work than there are slots for; without it, few are', async () => {
    const without = await play(false)
    const withGates = await play(true)
    expect(shareInTime(without) < 0.5).toEqual(true)
    expect(shareInTime(withGates) > 0.85).toEqual(true)
    const urgent = withGates.get('change')!
    expect(urgent.inTime / urgent.asked > 0.99).toEqual(true)
  })

  it('serves what is urgent in time at as many homes as the upstream has use for, and not at many more', async () => {
    const few = (await play(true, countHomes(1000, SLOTS, 1000))).get('change')!
    const many = (await play(true, 11)).get('change')!
    // All of 367 with three homes, 268 with eleven.
    expect(few.inTime / few.asked > 0.97).toEqual(true)
    expect(many.inTime / many.asked < 0.9).toEqual(true)
  })

  it('refuses who cannot be served while another host can still be asked in time', async () => {
    const got = await play(true)
    for (const { name, inTimeMs } of KINDS) {
      expect(got.get(name)!.refusedAfterMs <= inTimeMs / 2 + 1).toEqual(true)
    }
  })

  it('refuses at once when what goes before takes longer than the wait, and says when to come back', async () => {
    const statementQueue = createStatementQueue({ group: 'g', upstream: 'u', limits: () => ({ slots: 1, homes: 1 }) })
    const enter = async (waitMs: number): Promise<() => void> =>
      await statementQueue.enter({ priority: 1, costMs: 100, waitMs })
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

  it('lets the next one in when one has ended, the most urgent first, then the shortest', async () => {
    const statementQueue = createStatementQueue({ group: 'g', upstream: 'u', limits: () => ({ slots: 1, homes: 2 }) })
    const first = await statementQueue.enter({ priority: 1, costMs: 10, waitMs: 100 })
    await statementQueue.enter({ priority: 1, costMs: 10, waitMs: 100 })
    const order: string[] = []
    const queue = (name: string, priority: number, costMs: number): void => {
      void statementQueue.enter({ priority, costMs, waitMs: 1000 }).then((leave) => {
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

  it('counts only what goes before, shared by the slots that fall to a host', () => {
    expect(expectedWaitMs([10, 20], { slots: 4, homes: 2 })).toEqual(15)
    expect(expectedWaitMs([10, 20], { slots: 1, homes: 3 })).toEqual(30)
    expect(expectedWaitMs([], { slots: 1, homes: 0 })).toEqual(0)
  })
})
