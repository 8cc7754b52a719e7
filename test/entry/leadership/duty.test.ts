import { afterEach, beforeEach, describe, it } from 'node:test'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { DUTY_LEASE_MS } from '../../../src/entry/leadership/consts.ts'
import { createDuty, type Duty } from '../../../src/entry/leadership/duty.ts'
import type { DutyRow, Registry } from '../../../src/entry/registry/index.ts'

/** The row of the duty, as all hosts share it. */
class SharedRow {
  row: DutyRow | undefined
  version = 0

  dutyOf (name: string): Duty {
    const now = (): number => performance.now()
    const hosts = ['h1', 'h2'].map((host) => ({ name: host, process: `process of ${host}` }))
    const read = () => ({ hosts, duty: { row: this.row, version: this.version } })
    const registry = {
      self: { name, process: `process of ${name}` },
      get current () { return read() },
      refresh: async () => true,
      storeNowAtLeastMs: now,
      storeNowAtMostMs: now,
      write: async ({ expected, put }: Parameters<Registry['write']>[0]) => {
        if (expected[0]!.version !== this.version) {
          return false
        }
        this.row = JSON.parse(put[0]!.value) as DutyRow
        this.version++
        return true
      }
    }
    const peers = { ask: async () => ({}) }
    return createDuty({ registry: registry as unknown as Registry, peers, logger: silentLogger })
  }
}

describe('the duty of promoting', () => {
  let clock: Clock
  let shared: SharedRow
  beforeEach(() => {
    clock = fakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    shared = new SharedRow()
  })
  afterEach(() => { clock.uninstall() })

  it('is free for another host at once when it is released, with a higher fencing token', async () => {
    const first = shared.dutyOf('h1')
    const held = await first.hold()
    await first.release()
    const next = await shared.dutyOf('h2').hold()
    expect(next?.fence).toEqual(held!.fence + 1)
  })

  it('lets nothing more be ordered by what was taken before its release', async () => {
    const duty = shared.dutyOf('h1')
    const held = await duty.hold()
    expect(held?.mayOrder()).toEqual(true)
    await clock.tickAsync(1)
    await duty.release()
    expect(held?.mayOrder()).toEqual(false)
    expect((await duty.hold())?.mayOrder()).toEqual(false)
    await clock.tickAsync(1)
    expect((await duty.hold())?.mayOrder()).toEqual(true)
  })

  it('stays for its whole lease once a promotion was ordered', async () => {
    const duty = shared.dutyOf('h1')
    await duty.hold()
    duty.noteOrder()
    await duty.release()
    expect(await shared.dutyOf('h2').hold()).toEqual(undefined)
    await clock.tickAsync(DUTY_LEASE_MS + 1)
    expect((await shared.dutyOf('h2').hold())?.fence).toEqual(2)
  })
})
