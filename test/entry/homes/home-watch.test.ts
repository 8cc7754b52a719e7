import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { pause } from '../../../src/core/time/deadline.ts'
import { createHomeChoice, type HomeChoice } from '../../../src/entry/homes/home-choice.ts'
import {
  createHomeWatch, HOME_GONE_MS, PROBE_ANSWER_MS, PROBE_OTHERS, UNHEARD_MS, type HomeWatch
} from '../../../src/entry/homes/home-watch.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'

const HOME: KnownHost = { name: 'h1', version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p' }

/** A home that takes a while for each question. */
class SlowHome {
  asked = 0
  /** Homes that the host knows. */
  homes: KnownHost[] = [HOME]
  broken = 0
  readonly choice: HomeChoice = createHomeChoice()
  readonly watch: HomeWatch

  constructor (answerMs: number) {
    this.watch = createHomeWatch({
      choice: this.choice,
      homes: () => this.homes,
      logger: silentLogger,
      links: {
        request: async (_home, _type, _body, timeoutMs) => {
          this.asked++
          await pause(Math.min(answerMs, timeoutMs))
          if (answerMs > timeoutMs) {
            throw new RequestError('may-have-run', 'PeerUnavailable', { peer: 'h1', reason: 'no answer in time' })
          }
          return {}
        },
        disconnect: () => { this.broken++ }
      }
    })
  }

  get isPassedOver (): boolean {
    return this.choice.choose('u', [HOME], new Set()) === undefined
  }
}

describe('a home that statements wait for', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => clock.uninstall())

  it('is suspected and passed over when it is busy, and keeps its link', async () => {
    const home = new SlowHome(HOME_GONE_MS - 100)
    const there = home.watch.isAlive(HOME)
    await clock.tickAsync(PROBE_ANSWER_MS)
    expect(await there).toEqual(false)
    expect(home.isPassedOver).toEqual(true)
    await clock.tickAsync(HOME_GONE_MS)
    expect(home.broken).toEqual(0)
    expect(home.isPassedOver).toEqual(false)
  })

  it('loses its link when it stays silent', async () => {
    const home = new SlowHome(Infinity)
    const there = home.watch.isAlive(HOME)
    await clock.tickAsync(HOME_GONE_MS)
    expect(await there).toEqual(false)
    expect(home.broken).toEqual(1)
  })

  it('is asked once by all who wait for it, and not when it has answered just now', async () => {
    const home = new SlowHome(10)
    const there = Promise.all([home.watch.isAlive(HOME), home.watch.isAlive(HOME)])
    await clock.tickAsync(10)
    expect(await there).toEqual([true, true])
    expect(await home.watch.isAlive(HOME)).toEqual(true)
    expect(home.asked).toEqual(1)
  })

  it('has all others that have answered before asked when several are silent', async () => {
    const home = new SlowHome(Infinity)
    home.homes = Array.from({ length: 6 }, (_, index) => ({ ...HOME, name: `h${index}` }))
    const [first, second, third, , ...others] = home.homes as [KnownHost, KnownHost, KnownHost, ...KnownHost[]]
    const answered = [third, ...others]
    answered.forEach((other) => home.choice.recordAnswer(other, ''))
    await clock.tickAsync(UNHEARD_MS + 1)
    void home.watch.isAlive(first)
    await clock.tickAsync(PROBE_ANSWER_MS)
    expect(home.asked).toEqual(1)
    void home.watch.isAlive(second)
    await clock.tickAsync(PROBE_ANSWER_MS)
    expect(home.asked).toEqual(2 + answered.length)
    await clock.tickAsync(PROBE_ANSWER_MS)
    expect(answered.filter((other) => home.choice.isSilent(other)).length).toEqual(answered.length)
    await clock.tickAsync(HOME_GONE_MS + PROBE_OTHERS.pauseMs)
    const before = home.asked
    home.choice.recordAnswer(third, '')
    void home.watch.isAlive(first)
    await clock.tickAsync(HOME_GONE_MS)
    expect(home.asked).toEqual(before + 1)
  })

  it('has all other silent ones asked when one is back', async () => {
    const home = new SlowHome(1)
    home.homes = Array.from({ length: 6 }, (_, index) => ({ ...HOME, name: `h${index}` }))
    home.homes.forEach((other) => home.choice.recordFailure(other))
    void home.watch.isAlive(home.homes[0]!)
    await clock.tickAsync(10)
    expect(home.homes.some((other) => home.choice.isSilent(other))).toEqual(false)
    expect(home.asked).toEqual(6)
  })

  it('has those told who wait there, as long as they do', async () => {
    const home = new SlowHome(Infinity)
    let told = 0
    const stop = home.watch.probeWhileWaiting(HOME, () => { told++ })
    await clock.tickAsync(UNHEARD_MS + PROBE_ANSWER_MS)
    expect(told > 0).toEqual(true)
    stop()
    const before = told
    await clock.tickAsync(HOME_GONE_MS)
    expect(told).toEqual(before)
  })
})
