import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { silentLeasesExpireAt, trackClosing } from '../../../src/entry/leadership/silent-leases.ts'
import type { RowStanding } from '../../../src/entry/registry/index.ts'

describe('silentLeasesExpireAt', () => {
  /** State of eight hosts that all snapshots show. */
  const ofEight = (silent: number) =>
    ({ silent, stoppedSince: Array.from({ length: 8 - silent }, () => -Infinity), stoppedAt: 1500 })

  it('counts from the last stop while at most a quarter of the hosts are silent', () => {
    expect(silentLeasesExpireAt(ofEight(2))).toEqual(1500 + 3600)
  })

  it('counts from the last stop while at most half of the hosts are silent', () => {
    expect(silentLeasesExpireAt(ofEight(4))).toEqual(1500 + 3600)
  })

  it('is no bound while more than half of the hosts are silent', () => {
    expect(silentLeasesExpireAt(ofEight(5))).toEqual(Infinity)
    expect(silentLeasesExpireAt({ silent: 1, stoppedSince: [], stoppedAt: 0 })).toEqual(Infinity)
  })

  it('includes the maximum age of a confirmation before the rows that are needed were seen', () => {
    const stoppedSince = [1000, -Infinity, 900]
    expect(silentLeasesExpireAt({ silent: 1, stoppedSince, stoppedAt: 1500 })).toEqual(1500 + 3600)
    expect(silentLeasesExpireAt({ silent: 2, stoppedSince, stoppedAt: 1500 })).toEqual(900 + 15_600)
    expect(silentLeasesExpireAt({ silent: 3, stoppedSince, stoppedAt: 1500 })).toEqual(1000 + 15_600)
  })
})

describe('trackClosing', () => {
  const CLOSED_AT = 20_000
  let clock: Clock
  beforeEach(() => {
    clock = fakeTimers.install()
    clock.tick(CLOSED_AT)
  })
  afterEach(() => { clock.uninstall() })

  const OTHERS = ['h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8']
  const OLD: RowStanding = { since: 0, sinceVersion: 100, registeredVersion: 0 }
  const YOUNG: RowStanding = { since: CLOSED_AT - 10_000, sinceVersion: 100, registeredVersion: 100 }
  /** Tracks eight hosts, all of them old ones except those given. */
  const track = (standings: Record<string, RowStanding | undefined> = {}) => {
    const closedAt = performance.now()
    const standingOf = (name: string): RowStanding | undefined => name in standings ? standings[name] : OLD
    const progress = trackClosing({ self: 'h1', others: OTHERS, standingOf, closedAt })
    const stopAt = (ms: number, ...names: string[]): void => {
      clock.tick(closedAt + ms - performance.now())
      names.forEach(progress.recordStop)
    }
    return { stopAt, expiryMs: () => progress.leasesExpireAt() - closedAt }
  }

  it('counts from the stop after which silent hosts are no majority any more, however late it is', () => {
    const { stopAt, expiryMs } = track()
    stopAt(100, 'h2', 'h3')
    expect(expiryMs()).toEqual(15_600)
    stopAt(5000, 'h4')
    expect(expiryMs()).toEqual(5000 + 3600)
    stopAt(6000, 'h5', 'h6')
    expect(expiryMs()).toEqual(5000 + 3600)
  })

  it('counts no stop before the last one that was needed', () => {
    const { stopAt, expiryMs } = track({ h2: YOUNG, h3: YOUNG })
    stopAt(100, 'h2', 'h3', 'h4')
    stopAt(2000, 'h5')
    expect(expiryMs()).toEqual(2000 + 3600)
  })

  it('waits for the age of a confirmation that is older than the rows that are needed', () => {
    const { stopAt, expiryMs } = track({ h3: YOUNG, h4: YOUNG, h5: YOUNG, h6: YOUNG })
    stopAt(100, 'h3', 'h4', 'h5', 'h6')
    expect(expiryMs()).toEqual(15_600 - 10_000)
    stopAt(1000, 'h2')
    expect(expiryMs()).toEqual(1000 + 3600)
  })

  it('waits for the confirmations before the closing while more than half of the hosts are silent', () => {
    const { stopAt, expiryMs } = track()
    stopAt(14_000, 'h2', 'h3')
    expect(expiryMs()).toEqual(15_600)
    stopAt(14_500, 'h4')
    expect(expiryMs()).toEqual(15_600)
  })

  it('counts young rows that stood before every silent host registered', () => {
    const row = (version: number): RowStanding => ({ since: 19_000, sinceVersion: version, registeredVersion: version })
    const standings = Object.fromEntries(['h1', ...OTHERS].map((name, index) => [name, row(index + 1)]))
    const later = track(standings)
    later.stopAt(100, 'h2', 'h5', 'h6', 'h7', 'h8')
    expect(later.expiryMs()).toEqual(100 + 3600)
  })

  it('does not count young rows that were written after a silent host registered', () => {
    const row = (version: number): RowStanding => ({ since: 19_000, sinceVersion: version, registeredVersion: version })
    const standings = Object.fromEntries(['h1', ...OTHERS].map((name, index) => [name, row(index + 1)]))
    const earlier = track(standings)
    earlier.stopAt(100, 'h4', 'h5', 'h6', 'h7', 'h8')
    expect(earlier.expiryMs()).toEqual(15_600 - 1000)
    earlier.stopAt(1000, 'h2')
    expect(earlier.expiryMs()).toEqual(1000 + 3600)
  })

  it('does not rely on a host whose row it has not seen', () => {
    const { stopAt, expiryMs } = track({ h1: undefined, h2: undefined, h3: undefined })
    stopAt(100, 'h2', 'h3', 'h4', 'h5')
    expect(expiryMs()).toEqual(15_600)
  })
})
