import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { pause } from '../../../src/core/time/deadline.ts'
import { createHomeSelector, type HomeSelector } from '../../../src/entry/homes/home-choice.ts'
import {
  createHomeFailureDetector, DISCONNECT_AFTER_MS, PROBE_AFTER_IDLE_MS, PROBE_ALL, SUSPECT_AFTER_MS,
  SUSPECT_STARTING_AFTER_MS,
  type HomeFailureDetector
} from '../../../src/entry/homes/home-watch.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'
import { PeerLinkPending } from '../../../src/peers/refusal.ts'

/** Time until a home without an answer is suspected: the turn of the event loop after the timeout takes 1 ms here. */
const SUSPECTED_MS = SUSPECT_AFTER_MS + 1

const HOME: KnownHost = { name: 'h1', version: 1, address: '127.0.0.1', port: 1, failureDomain: 'x', process: 'p' }

/** A home that answers each request after a fixed time, and the failure detector that probes it. */
class SlowHome {
  requests = 0
  /** Homes that this host may forward statements to. */
  homes: KnownHost[] = [HOME]
  disconnects = 0
  isStarting = false
  /** Whether the link to it is still being opened. */
  isLinkPending = false
  readonly selector: HomeSelector = createHomeSelector()
  readonly detector: HomeFailureDetector

  constructor (answerMs: number) {
    this.detector = createHomeFailureDetector({
      selector: this.selector,
      homes: () => this.homes,
      logger: silentLogger,
      starting: { isStarting: () => this.isStarting },
      links: {
        request: async (_home, _type, _body, timeoutMs) => {
          this.requests++
          if (this.isLinkPending) {
            throw new PeerLinkPending('h1')
          }
          await pause(Math.min(answerMs, timeoutMs))
          if (answerMs > timeoutMs) {
            throw new RequestError('may-have-run', 'PeerUnavailable', { peer: 'h1', reason: 'no answer in time' })
          }
          return {}
        },
        disconnect: () => { this.disconnects++ }
      }
    })
  }

  get isSkipped (): boolean {
    return this.selector.choose('u', [HOME], new Set()) === undefined
  }
}

describe('createHomeFailureDetector', () => {
  let clock: Clock
  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: [
        'performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate'
      ]
    })
  })
  afterEach(() => clock.uninstall())

  it('does not take a home that starts for silent while the first link to it opens, or while it answers late', async () => {
    const home = new SlowHome(SUSPECT_STARTING_AFTER_MS - 100)
    home.isStarting = true
    home.isLinkPending = true
    expect(await home.detector.isAlive(HOME)).toEqual(false)
    expect(home.isSkipped).toEqual(false)
    home.isLinkPending = false
    const alive = home.detector.isAlive(HOME)
    await clock.tickAsync(SUSPECT_STARTING_AFTER_MS)
    expect(await alive).toEqual(true)
    expect(home.isSkipped).toEqual(false)
  })

  it('takes a home that has run for long for silent if no link to it opens', async () => {
    const home = new SlowHome(0)
    home.isLinkPending = true
    expect(await home.detector.isAlive(HOME)).toEqual(false)
    expect(home.isSkipped).toEqual(true)
  })

  it('skips a slow home until it answers, and keeps its link', async () => {
    const home = new SlowHome(DISCONNECT_AFTER_MS - 100)
    const alive = home.detector.isAlive(HOME)
    await clock.tickAsync(SUSPECTED_MS)
    expect(await alive).toEqual(false)
    expect(home.isSkipped).toEqual(true)
    await clock.tickAsync(DISCONNECT_AFTER_MS)
    expect(home.disconnects).toEqual(0)
    expect(home.isSkipped).toEqual(false)
  })

  it('closes the link to a home that stays silent', async () => {
    const home = new SlowHome(Infinity)
    const alive = home.detector.isAlive(HOME)
    await clock.tickAsync(DISCONNECT_AFTER_MS)
    expect(await alive).toEqual(false)
    expect(home.disconnects).toEqual(1)
  })

  it('shares one probe among concurrent callers, and sends none to a home that has answered recently', async () => {
    const home = new SlowHome(10)
    const alive = Promise.all([home.detector.isAlive(HOME), home.detector.isAlive(HOME)])
    await clock.tickAsync(10)
    expect(await alive).toEqual([true, true])
    expect(await home.detector.isAlive(HOME)).toEqual(true)
    expect(home.requests).toEqual(1)
  })

  it('probes all other homes that have answered before when several are silent', async () => {
    const home = new SlowHome(Infinity)
    home.homes = Array.from({ length: 6 }, (_, index) => ({ ...HOME, name: `h${index}` }))
    const [first, second, third, , ...others] = home.homes as [KnownHost, KnownHost, KnownHost, ...KnownHost[]]
    const answered = [third, ...others]
    answered.forEach((other) => home.selector.recordAnswer(other, ''))
    await clock.tickAsync(PROBE_AFTER_IDLE_MS + 1)
    void home.detector.isAlive(first)
    await clock.tickAsync(SUSPECTED_MS)
    expect(home.requests).toEqual(1)
    void home.detector.isAlive(second)
    await clock.tickAsync(SUSPECTED_MS)
    expect(home.requests).toEqual(2 + answered.length)
    await clock.tickAsync(SUSPECTED_MS)
    expect(answered.filter((other) => home.selector.isSilent(other)).length).toEqual(answered.length)
    await clock.tickAsync(DISCONNECT_AFTER_MS + PROBE_ALL.minimumIntervalMs)
    const before = home.requests
    home.selector.recordAnswer(third, '')
    void home.detector.isAlive(first)
    await clock.tickAsync(DISCONNECT_AFTER_MS)
    expect(home.requests).toEqual(before + 1)
  })

  it('probes all silent homes when one of them answers', async () => {
    const home = new SlowHome(1)
    home.homes = Array.from({ length: 6 }, (_, index) => ({ ...HOME, name: `h${index}` }))
    home.homes.forEach((other) => home.selector.recordFailure(other))
    void home.detector.isAlive(home.homes[0]!)
    await clock.tickAsync(10)
    expect(home.homes.some((other) => home.selector.isSilent(other))).toEqual(false)
    expect(home.requests).toEqual(6)
  })

  it('reports a suspected home only while a request waits for it', async () => {
    const home = new SlowHome(Infinity)
    let suspicions = 0
    const stop = home.detector.probeWhileWaiting(HOME, () => { suspicions++ })
    await clock.tickAsync(PROBE_AFTER_IDLE_MS + SUSPECTED_MS)
    expect(suspicions > 0).toEqual(true)
    stop()
    const before = suspicions
    await clock.tickAsync(DISCONNECT_AFTER_MS)
    expect(suspicions).toEqual(before)
  })
})
