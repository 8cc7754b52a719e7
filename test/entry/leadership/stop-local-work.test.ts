import { deepEqual, equal } from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock, type FakeMethod } from '@sinonjs/fake-timers'
import type { Logger } from '../../../src/core/logger/index.ts'
import { pause } from '../../../src/core/time/deadline.ts'
import { createPrimaryLeases } from '../../../src/entry/leadership/primary-leases.ts'
import { createPrimaryUses, type PrimaryUse } from '../../../src/entry/leadership/primary-uses.ts'
import { createLocalWorkStop } from '../../../src/entry/leadership/stop-local-work.ts'
import { PRIMARY_LEASE_MS } from '../../../src/entry/registry/lease-times.ts'
import type { Registry } from '../../../src/entry/registry/index.ts'

/** What the paused clock replaces; the reports of the test runner need the rest. */
const TIMERS: FakeMethod[] = ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']
/** Time after which the aborts for an expired lease have been made, in milliseconds. */
const ABORTED_AFTER_MS = PRIMARY_LEASE_MS + 300

describe('the stop of local work at a primary', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install({ toFake: TIMERS }) })
  afterEach(() => { clock.uninstall() })

  /** Creates the stop at a host that knows no upstream, and whose row names an open epoch. */
  const setUp = (epoch: number) => {
    const row = { epoch, primary: `u${epoch}`, state: 'open' }
    const confirmed = { at: performance.now() }
    const closedGroups: Array<{ group: string, epoch: number }> = []
    const registry = {
      current: { group: () => ({ row, version: 1 }), closedGroups },
      confirmedAgeMs: () => performance.now() - confirmed.at
    } as unknown as Pick<Registry, 'current' | 'confirmedAgeMs'>
    const events: Array<Record<string, unknown>> = []
    const logger: Logger = { log: (_level, event, fields) => { events.push({ event, ...fields }) } }
    const primaryLeases = createPrimaryLeases(registry)
    const primaryUses = createPrimaryUses({ primaryLeases, logger })
    const directory = { get: () => undefined }
    const stop = createLocalWorkStop({ registry, directory, primaryLeases, primaryUses, logger })
    const aborted: string[] = []
    const use = (name: string, group: string, usedEpoch: number): PrimaryUse => primaryUses.track({
      group, lease: { upstream: `u${usedEpoch}`, epoch: usedEpoch }, abort: () => { aborted.push(name) }
    })
    /** Starts a command that never ends. */
    const hang = (hanging: PrimaryUse): void => { void hanging.whileRunning(async () => await new Promise(() => {})) }
    return { row, stop, use, hang, aborted, events, confirmed, closedGroups }
  }

  // Guards against an acknowledgement at once because the row names the next primary already.
  it('aborts what was sent in the closed epoch and earlier ones if the row names a newer one', async () => {
    const { stop, use, hang, aborted, events } = setUp(3)
    hang(use('first', 'g', 1))
    hang(use('second', 'g', 2))
    hang(use('third', 'g', 3))
    hang(use('other', 'k', 1))
    const closing = stop.closeEpoch('g', 2)
    await clock.tickAsync(140)
    deepEqual(aborted, [])
    await clock.tickAsync(20)
    await closing
    deepEqual(aborted, ['first', 'second'])
    const { event, inUse, aborted: count, listed } = events.at(-1)!
    deepEqual({ event, inUse, count, listed }, { event: 'leadership.stopped', inUse: 2, count: 2, listed: false })
  })

  it('aborts what is in progress when the lease is confirmed again by a closed row', async () => {
    const { stop, use, hang, row, confirmed, closedGroups } = setUp(1)
    const running = use('running', 'g', 1)
    hang(running)
    await clock.tickAsync(PRIMARY_LEASE_MS + 200)
    confirmed.at = performance.now()
    row.state = 'closed'
    closedGroups.push({ group: 'g', epoch: 1 })
    stop.abortPassed()
    await clock.tickAsync(160)
    equal(running.isCovered, false)
  })

  it('aborts an idle transaction without waiting for it', async () => {
    const { stop, use, aborted } = setUp(1)
    use('idle', 'g', 1)
    await stop.closeEpoch('g', 1)
    deepEqual(aborted, ['idle'])
  })

  it('waits for a statement in progress only until it has finished', async () => {
    const { stop, use, events } = setUp(1)
    const finishing = use('finishing', 'g', 1)
    void finishing.whileRunning(async () => await pause(40)).finally(finishing.end)
    const closing = stop.closeEpoch('g', 1)
    await clock.tickAsync(60)
    await closing
    deepEqual(events.map(({ event, aborted }) => [event, aborted]), [['leadership.stopped', 0]])
  })

  // Guards against statements that go on at a deposed primary because nobody asks this host to stop.
  it('aborts what was sent in an epoch that the row has passed', () => {
    const { row, stop, use, aborted } = setUp(1)
    use('old', 'g', 1)
    stop.abortPassed()
    deepEqual(aborted, [])
    row.epoch = 2
    use('new', 'g', 2)
    stop.abortPassed()
    deepEqual(aborted, ['old'])
  })

  it('aborts the uses of all groups once the leases have expired, and lets none of them send', async () => {
    const { stop, use, aborted } = setUp(1)
    const first = use('first', 'g', 1)
    use('second', 'k', 1)
    equal(first.maySend, true)
    await clock.tickAsync(PRIMARY_LEASE_MS + 1)
    stop.abortExpired()
    deepEqual([first.maySend, aborted], [false, []])
    await clock.tickAsync(ABORTED_AFTER_MS - PRIMARY_LEASE_MS)
    stop.abortExpired()
    deepEqual(aborted, ['first', 'second'])
  })
})
