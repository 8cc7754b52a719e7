import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { createReturnQueue, RETURN_MS, spreadRetryMs, type ReturnRequest } from '../../../src/entry/requests/return-queue.ts'

/** A kind of request: part of the load, and what it is worth to its callers in time and late. */
const KINDS = [
  { name: 'scan', part: 3, priority: 0, targetMs: 252, timeoutMs: 1000, worth: [3.5, 0.43] },
  { name: 'reconcile', part: 16, priority: 1, targetMs: 502, timeoutMs: 1000, worth: [1.9, 0.28] },
  { name: 'lookup', part: 6, priority: 2, targetMs: 1202, timeoutMs: 2000, worth: [0.47, 0.21] }
] as const
/** Wall time that a host of a third of a core needs for a request while its code is cold, in milliseconds. */
const COLD_REQUEST_MS = 50
const WAIT_SHARE = 0.45

const requestOf = (kind: typeof KINDS[number]): ReturnRequest => ({
  group: `g${Math.floor(Math.random() * 6)}`,
  priority: kind.priority,
  costMs: 10,
  dueInMs: kind.targetMs,
  waitMs: kind.timeoutMs * WAIT_SHARE,
  maximumRetryMs: kind.timeoutMs
})

describe('the order of requests at the return', () => {
  let clock: Clock
  // The test runner writes its results with process.nextTick.
  beforeEach(() => { clock = fakeTimers.install({ toNotFake: ['nextTick', 'queueMicrotask'] }) })
  afterEach(() => clock.uninstall())

  /** A processor that runs all its work at the same time, each at an equal part of its speed. */
  const createProcessor = (): ((workMs: number) => Promise<void>) => {
    const work = new Set<{ leftMs: number, done: () => void }>()
    setInterval(() => {
      for (const item of [...work]) {
        item.leftMs -= 1 / work.size
        if (item.leftMs <= 0) {
          work.delete(item)
          item.done()
        }
      }
    }, 1)
    return async (workMs) => await new Promise((resolve) => work.add({ leftMs: workMs, done: resolve }))
  }
  /** Sends half of a host's 50 sessions' requests at once; returns the worth of the answers and the retry delays. */
  const replay = async (isOrdered: boolean): Promise<{ worth: number, delays: number[] }> => {
    const queue = createReturnQueue(() => 4)
    const process = createProcessor()
    const requests = KINDS.flatMap((kind) => Array.from({ length: kind.part }, () => kind))
      .sort(() => Math.random() - 0.5)
    const result = { worth: 0, delays: [] as number[] }
    if (isOrdered) {
      queue.begin()
    }
    const startedAt = performance.now()
    const served = requests.map(async (kind) => {
      const leave = await queue.enter(requestOf(kind))
      await process(COLD_REQUEST_MS)
      leave()
      result.worth += kind.worth[performance.now() - startedAt <= kind.targetMs ? 0 : 1]
    }).map(async (answer) => await answer.catch((thrown: { details: { retryAfterMs: number } }) => {
      result.delays.push(thrown.details.retryAfterMs)
    }))
    await clock.tickAsync(RETURN_MS)
    await Promise.all(served)
    return result
  }

  it('serves more of the worth than without it, and spreads the retries of what it refuses', async () => {
    const without = await replay(false)
    const { worth, delays } = await replay(true)
    expect([worth >= 1.3 * without.worth, delays.length > 0]).toEqual([true, true])
    expect(Math.max(...delays) - Math.min(...delays) >= 100).toEqual(true)
    expect(Math.max(...delays) <= 2000).toEqual(true)
  })

  it('refuses a waiting request as soon as more urgent ones take its turn', async () => {
    const queue = createReturnQueue(() => 1)
    queue.begin()
    const [scan, , lookup] = KINDS
    void queue.enter(requestOf(scan))
    const waiting = queue.enter({ ...requestOf(lookup), waitMs: 500 }).then(() => 'served', () => performance.now())
    for (let index = 0; index < 3; index++) {
      void queue.enter({ ...requestOf(scan), waitMs: 1500 }).catch(() => {})
    }
    await clock.tickAsync(1)
    expect(await waiting).toEqual(0)
    queue.close()
  })

  it('lets no group block the others, and everything run when its time has passed', async () => {
    const queue = createReturnQueue(() => 4)
    queue.begin()
    const served: string[] = []
    const enter = (group: string): void => {
      void queue.enter({ ...requestOf(KINDS[2]), group, waitMs: 10_000 }).then(() => served.push(group))
    }
    ['g1', 'g1', 'g1', 'g2'].forEach(enter)
    await clock.tickAsync(RETURN_MS - 1)
    expect(served).toEqual(['g1', 'g1', 'g2'])
    await clock.tickAsync(2)
    expect([served.length, queue.isOrdering]).toEqual([4, false])
  })

  it('states a retry delay within the time of the caller', () => {
    expect(spreadRetryMs(900, 5000, 1000) <= 1000).toEqual(true)
  })
})
