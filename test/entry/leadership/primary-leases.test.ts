import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createPrimaryLeases } from '../../../src/entry/leadership/primary-leases.ts'
import { createSnapshot } from '../../../src/entry/registry/snapshot.ts'

const GROUP = { epoch: 4, primary: 'g-a', state: 'open', term: 1, writtenBy: 'h1', succession: '' }

describe('an extended lease', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  const start = (row: object = GROUP) => {
    let confirmedAt = performance.now()
    const leases = createPrimaryLeases({
      current: createSnapshot([{ key: 'group/g', value: JSON.stringify(row), version: 1 }], 1, 0),
      confirmedAgeMs: () => performance.now() - confirmedAt
    })
    const extend = (): void => leases.recordExtension({ askedAt: performance.now(), confirmedAt })
    const confirm = (): void => { confirmedAt = performance.now() }
    return { leases, extend, confirm, holdsLease: () => leases.leaseOf('g') !== undefined }
  }

  it('lasts no longer if it had expired before the extension', () => {
    const { leases, holdsLease } = start()
    clock.tick(6000)
    expect(holdsLease()).toEqual(false)
    clock.tick(400)
    leases.recordExtension({ askedAt: 6000, confirmedAt: 0 })
    expect(holdsLease()).toEqual(true)
    clock.tick(2600)
    expect(holdsLease()).toEqual(true)
    clock.tick(1)
    expect(holdsLease()).toEqual(false)
  })

  it('ends when the confirmation before it is too old', () => {
    const { extend, holdsLease } = start()
    clock.tick(14_000)
    extend()
    clock.tick(1000)
    expect(holdsLease()).toEqual(true)
    clock.tick(1)
    expect(holdsLease()).toEqual(false)
  })

  // Guards against an extension by a majority of an old snapshot that outlasts that snapshot through a later one.
  it('ends with the confirmation on which it was requested, although a later one arrives', () => {
    const { leases, extend, confirm, holdsLease } = start()
    clock.tick(12_500)
    confirm()
    clock.tick(2000)
    leases.recordExtension({ askedAt: 14_500, confirmedAt: 0 })
    clock.tick(1500)
    expect(holdsLease()).toEqual(false)
    extend()
    expect(holdsLease()).toEqual(true)
  })

  it('does not last beyond a later extension that was recorded earlier', () => {
    const { leases, holdsLease } = start()
    clock.tick(5000)
    leases.recordExtension({ askedAt: 5000, confirmedAt: 0 })
    leases.recordExtension({ askedAt: 4000, confirmedAt: 0 })
    clock.tick(3000)
    expect(holdsLease()).toEqual(true)
  })

  it('names the newest epoch that is over in grants, of the rows and of this host', () => {
    const { leases } = start()
    expect(leases.endedEpochs()).toEqual([{ group: 'g', epoch: 3 }])
    leases.closeEpoch('g', 2)
    expect(leases.endedEpochs()).toEqual([{ group: 'g', epoch: 3 }])
    leases.closeEpoch('g', 4)
    leases.closeEpoch('k', 1)
    expect(leases.endedEpochs()).toEqual([{ group: 'g', epoch: 4 }, { group: 'k', epoch: 1 }])
    expect(start({ ...GROUP, state: 'closed' }).leases.endedEpochs()).toEqual([{ group: 'g', epoch: 4 }])
    expect(start({ ...GROUP, epoch: 1 }).leases.endedEpochs()).toEqual([])
  })
})
