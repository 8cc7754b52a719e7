import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { runExperiment } from '../../src/emulation/load/experiment.ts'
import { FAULT_NAMES } from '../../src/emulation/load/faults.ts'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'

describe('two concurrent failures', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  it('fails over from a partitioned primary while the platform is down', async () => {
    deployment.standins.platform.faults.outage = true
    const old = deployment.primaryOf(GROUP).upstream
    deployment.network.isolate(old.name)
    const names = [...deployment.standins.groups.get(GROUP)!.keys()]
    names.forEach((name) => deployment.standins.cutReplication(name, old.name))
    const connection = await deployment.connect(0)
    await purchase(connection, 'cut-and-outage', 'c1')
    expect(deployment.primaryOf(GROUP).upstream.name).not.toEqual(old.name)
    deployment.network.mend()
    deployment.standins.mendReplication()
    deployment.standins.platform.faults.outage = false
    await deployment.waitForPrimaries()
    expect(await readRequests(await deployment.connect(1), 'cut-and-outage', 'id')).toEqual(['c1'])
  })

  it('waits for a majority when a second upstream pauses during the promotion, then completes it', async () => {
    const old = deployment.primaryOf(GROUP)
    const [paused] = [...deployment.standins.groups.get(GROUP)!.values()].filter((server) => server !== old)
    paused!.upstream.paused = true
    await old.crash()
    const connection = await deployment.connect(2)
    await expect(purchase(connection, 'minority', 'm1')).toBeRejectedWith('[verdict: not-run]')
    expect(deployment.primaryOf(GROUP)).toEqual(old)
    paused!.upstream.paused = false
    paused!.upstream.resume()
    await until(() => deployment.primaryOf(GROUP) !== old)
    await purchase(connection, 'minority', 'm2')
    expect(await readRequests(connection, 'minority')).toEqual(['m2'])
    await old.restart()
    await deployment.waitForPrimaries()
  })

  it('resolves a commit whose response is lost just before the primary crashes', async () => {
    const primary = deployment.primaryOf(GROUP)
    primary.faults.loseAnswers.set('worksward_commit', 1)
    const before = primary.upstream.log.end.position
    const connection = await deployment.connect(0)
    const writing = purchase(connection, 'lost-then-crash', 'l1')
    await until(() => primary.upstream.log.end.position > before)
    await primary.crash()
    await writing
    expect(await readRequests(connection, 'lost-then-crash')).toEqual(['l1'])
    await primary.restart()
    await deployment.waitForPrimaries()
  })

  it('removes only expired request keys from the ledger', async () => {
    const connection = await deployment.connect(0)
    await purchase(connection, 'sweep', 'kept')
    const primary = deployment.primaryOf(GROUP).upstream
    await primary.run({
      sql: `INSERT INTO worksward_ledger
      (scope, request_key, fingerprint, state, attempt, created_at) VALUES ('app', 'old', 'f', 'done', 1, 1)`
    })
    const homes = deployment.proxies.flatMap(({ kernel }) => [...kernel.use('routing').homes().values()])
    const swept = await Promise.all(homes.map(async (home) => await home.sweepLedger()))
    expect(swept.reduce((sum, count) => sum + count, 0)).toEqual(1)
    await purchase(connection, 'sweep', 'kept')
    expect(await readRequests(connection, 'sweep')).toEqual(['kept'])
  })

  it('violates no invariant under generated pairs of faults', async () => {
    const fault = fc.record({
      name: fc.constantFrom(...FAULT_NAMES),
      atMs: fc.integer({ min: 100, max: 700 }),
      durationMs: fc.integer({ min: 100, max: 900 })
    })
    const seeds = fc.integer({ min: 1, max: 1000 })
    await fc.assert(fc.asyncProperty(fc.tuple(fault, fault), seeds, async (faults, seed) => {
      const { violations } = await runExperiment({ seed, faults, workload: { durationMs: 1500 } })
      expect(violations).toEqual([])
    }), { seed: 11, numRuns: 5, endOnFailure: true })
  })
})
