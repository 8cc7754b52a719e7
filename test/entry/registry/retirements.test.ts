import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createRetirements } from '../../../src/entry/registry/retirements.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'

const LEASE_MS = 15_600
const hostAt = (version: number, retiredUntilMs?: number): KnownHost =>
  ({ name: 'h1', version, address: '', port: 1, failureDomain: 'x', process: 'p', retiredUntilMs })

describe('the leases of a retired host', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: ['performance'] }) })
  afterEach(() => { clock.uninstall() })

  // Guards against trusting the time in the row, which the store may have written late.
  it('last for the longest lease from when the retirement is first seen', () => {
    const retirements = createRetirements(LEASE_MS)
    const retired = hostAt(2, 0)
    retirements.record([hostAt(1)])
    expect(retirements.haveLeasesExpired(retired)).toEqual(false)
    retirements.record([retired])
    clock.tick(LEASE_MS - 1)
    retirements.record([retired])
    expect(retirements.haveLeasesExpired(retired)).toEqual(false)
    clock.tick(1)
    expect(retirements.haveLeasesExpired(retired)).toEqual(true)
  })

  // Guards against counting a second retirement from the first.
  it('last anew after the host has registered again', () => {
    const retirements = createRetirements(LEASE_MS)
    retirements.record([hostAt(2, 0)])
    clock.tick(LEASE_MS)
    retirements.record([hostAt(3)])
    expect(retirements.haveLeasesExpired(hostAt(3))).toEqual(false)
    retirements.record([hostAt(4, 0)])
    clock.tick(LEASE_MS - 1)
    expect(retirements.haveLeasesExpired(hostAt(4, 0))).toEqual(false)
  })
})
