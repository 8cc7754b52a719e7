import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createRowStandings } from '../../../src/entry/registry/row-standing.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'

/** Interval between two snapshots, in milliseconds. */
const SNAPSHOT_MS = 750

describe('the standing of a row', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  const row = (version: number, process: string, more: Partial<KnownHost> = {}): KnownHost =>
    ({ name: 'h1', address: '127.0.0.1', port: 1, failureDomain: 'x', process, version, ...more })
  const retired = (version: number): KnownHost => row(version, 'retired', { retiredUntilMs: 1 })
  /** Records the row in one snapshot after the other; returns the last standing. */
  const standingAfter = (sightings: Array<KnownHost | undefined>, intervalMs = SNAPSHOT_MS) => {
    const standings = createRowStandings()
    for (const host of sightings) {
      clock.tick(intervalMs)
      standings.record({ hosts: host === undefined ? [] : [host], askedAt: performance.now() })
    }
    const { since, sinceVersion, registeredVersion } = standings.of('h1')!
    return { since, sinceVersion, registeredVersion }
  }

  it('begins when the row is seen', () => {
    expect(standingAfter([row(5, 'p'), row(5, 'p')])).toEqual({ since: 750, sinceVersion: 5, registeredVersion: 5 })
  })

  it('goes on when the process writes its row, and keeps the version of its registration', () => {
    expect(standingAfter([row(5, 'p'), row(7, 'p', { stopped: { g: 1 } })]))
      .toEqual({ since: 750, sinceVersion: 5, registeredVersion: 5 })
  })

  it('goes on through a retirement and a new registration of the same process', () => {
    expect(standingAfter([row(5, 'p'), retired(7), row(9, 'p')]))
      .toEqual({ since: 750, sinceVersion: 5, registeredVersion: 9 })
  })

  it('goes on when another process has replaced the row', () => {
    expect(standingAfter([row(5, 'p'), row(9, 'q', { replaces: 5 })]))
      .toEqual({ since: 750, sinceVersion: 5, registeredVersion: 9 })
  })

  it('includes the row that the process has replaced', () => {
    expect(standingAfter([row(9, 'q', { replaces: 5 })]))
      .toEqual({ since: 750, sinceVersion: 5, registeredVersion: 9 })
  })

  // Guards against a host that stopped in order and started again between two snapshots.
  it('begins anew when the row of another process may have been written after a removal', () => {
    expect(standingAfter([row(5, 'p'), row(9, 'q')])).toEqual({ since: 1500, sinceVersion: 9, registeredVersion: 9 })
    expect(standingAfter([row(5, 'p'), row(9, 'q', { replaces: 7 })]).sinceVersion).toEqual(7)
  })

  it('begins anew when the row was gone', () => {
    expect(standingAfter([row(5, 'p'), undefined, row(9, 'p')]).sinceVersion).toEqual(9)
  })

  // Guards against a retirement, a removal and a new registration that this host has not seen.
  it('begins anew when the row has changed during a time in which it can have been removed', () => {
    expect(standingAfter([row(5, 'p'), row(9, 'p')], 15_000).sinceVersion).toEqual(9)
    expect(standingAfter([row(5, 'p'), retired(9)], 2500).sinceVersion).toEqual(9)
    expect(standingAfter([row(5, 'p'), ...Array.from({ length: 21 }, () => retired(7)), row(9, 'p')]).sinceVersion).toEqual(9)
  })

  it('begins anew when the same host is retired a second time, and nothing is known of its process', () => {
    expect(standingAfter([retired(5), retired(9)])).toEqual({ since: 1500, sinceVersion: 9, registeredVersion: 0 })
  })

  it('knows no registration of a process that has already written its row again', () => {
    expect(standingAfter([row(5, 'p', { leaving: true })]))
      .toEqual({ since: 750, sinceVersion: 5, registeredVersion: 0 })
  })
})
