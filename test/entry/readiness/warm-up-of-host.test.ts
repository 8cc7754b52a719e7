import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Logger } from '../../../src/core/logger/index.ts'
import { createWarmUp, type WarmUp } from '../../../src/entry/readiness/warm-up.ts'
import { createWarmUpPlan } from '../../../src/entry/readiness/warm-up-steps.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']

/** Collects the fields of the event. */
class Report implements Logger {
  fields: Record<string, unknown> = {}
  log (_level: string, _event: string, fields: Record<string, unknown> = {}): void {
    this.fields = fields
  }
}

describe('the warm-up of a host that starts', () => {
  const suite = setUpWorld(HOSTS, [MONEY, VIEW])
  /** Restarts a home of the primary and warms it up. */
  const warmUpRestarted = async (): Promise<{ warmUp: WarmUp, report: Report, name: string }> => {
    const running = suite.world.hosts.get('h1')!.kernel
    const { name } = running.use('homes').of(running.use('directory').get('g-a')!)[0]!
    await suite.world.kill(name)
    const { kernel } = await suite.world.startHost(name)
    const report = new Report()
    const warmUp = createWarmUp(createWarmUpPlan({
      registry: kernel.use('registry'),
      directory: kernel.use('directory'),
      desiredState: kernel.use('desiredState'),
      homes: kernel.use('homes'),
      limits: kernel.use('limits'),
      freshness: kernel.use('freshness'),
      leadership: kernel.use('leadership'),
      pools: kernel.use('pools')
    }), report)
    await suite.clock.tickAsync(5)
    warmUp.start()
    return { warmUp, report, name }
  }

  it('opens links and connections and has proofs soon, while the others serve', async () => {
    const { warmUp, report } = await warmUpRestarted()
    await suite.clock.tickAsync(200)
    const { links, proofs, connections, postponed } = report.fields
    expect([warmUp.isDone, postponed, proofs]).toEqual([true, false, '1/1'])
    for (const step of [links, connections]) {
      const [ready, wanted] = String(step).split('/')
      expect([ready, Number(wanted) > 0]).toEqual([wanted, true])
    }
  })

  it('does not wait for long for a peer that does not answer', async () => {
    const { warmUp, report, name } = await warmUpRestarted()
    suite.world.silent.add(HOSTS.find((host) => host !== name)!)
    await suite.clock.tickAsync(1200)
    expect([warmUp.isDone, report.fields['postponed']]).toEqual([true, false])
  })

  it('is postponed while fewer than half of the others are ready', async () => {
    HOSTS.forEach((host) =>
      suite.world.hosts.get(host)!.kernel.use('homes').setReadiness(() => false))
    const { warmUp, report } = await warmUpRestarted()
    await suite.clock.tickAsync(100)
    expect([warmUp.isDone, report.fields['postponed'], report.fields['links']]).toEqual([true, true, undefined])
  })
})
