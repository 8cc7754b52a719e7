import { after, afterEach, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'

describe('acknowledgement and promotion', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  afterEach(() => {
    deployment.network.mend()
    deployment.standins.mendReplication()
  })
  after(async () => await deployment.close())

  const replicaNames = (): string[] => {
    const primary = deployment.primaryOf(GROUP).upstream.name
    return [...deployment.standins.groups.get(GROUP)!.keys()].filter((name) => name !== primary)
  }

  it('acknowledges no write that only a superseded primary has, and discards the write when that primary rejoins', async () => {
    const old = deployment.primaryOf(GROUP).upstream
    const writer = await deployment.connect(0)
    await purchase(writer, 'ack', 'kept')
    replicaNames().forEach((name) => deployment.standins.cutReplication(name, old.name))
    deployment.keepers.forEach(({ name }) => deployment.network.cut(name, old.name))
    const before = old.log.end.position
    const unreplicated = purchase(writer, 'ack', 'doubtful')
    await until(() => old.log.end.position > before)
    await until(() => deployment.primaryOf(GROUP).upstream !== old)
    await unreplicated
    const reader = await deployment.connect(1)
    expect(await readRequests(reader, 'ack', 'some-id')).toEqual(['kept', 'doubtful'])
    deployment.network.mend()
    deployment.standins.mendReplication()
    await deployment.waitForPrimaries()
    await until(() => old.log.end.position === deployment.primaryOf(GROUP).upstream.log.end.position)
    expect(old.discardedRecords >= 0).toEqual(true)
    expect(await readRequests(reader, 'ack', 'other-id')).toEqual(['kept', 'doubtful'])
  })

  it('promotes the replica that has all acknowledged writes, not the one that lags', async () => {
    const [first, second] = replicaNames().map((name) => deployment.upstream(GROUP, name).upstream)
    first!.lagMs = 60_000
    const writer = await deployment.connect(0)
    await purchase(writer, 'furthest', 'f1')
    const old = deployment.primaryOf(GROUP)
    await old.crash()
    await until(() => deployment.primaryOf(GROUP).upstream === second)
    first!.lagMs = 5
    await old.restart()
    await deployment.waitForPrimaries()
    expect(await readRequests(await deployment.connect(1), 'furthest', 'id')).toEqual(['f1'])
  })

  it('acknowledges a kind declared as confirmed without waiting for replicas', async () => {
    const servers = [...deployment.standins.groups.get(GROUP)!.values()]
    servers.forEach(({ upstream }) => { upstream.lagMs = 60_000 })
    const writer = await deployment.connect(0)
    const before = deployment.primaryOf(GROUP).upstream.log.end.position
    await writer.query(
      "INSERT INTO records (session, request, amount) VALUES ('quick', 'q1', 1) /*worksward_kind='quick'*/")
    const replicas = servers.filter((server) => server !== deployment.primaryOf(GROUP))
    expect(replicas.every(({ upstream }) => upstream.log.end.position <= before)).toEqual(true)
    servers.forEach(({ upstream }) => { upstream.lagMs = 5 })
  })

  it('fails over while the platform is down', async () => {
    deployment.standins.platform.faults.outage = true
    const writer = await deployment.connect(0)
    const old = deployment.primaryOf(GROUP)
    await old.crash()
    await purchase(writer, 'outage', 'o1')
    expect(await readRequests(await deployment.connect(2), 'outage', 'id')).toEqual(['o1'])
    await old.restart()
    deployment.standins.platform.faults.outage = false
    await deployment.waitForPrimaries()
  })

  it('fails over from a paused primary, and loses no write when it resumes', async () => {
    const writer = await deployment.connect(0)
    await purchase(writer, 'frozen', 'z1')
    const old = deployment.primaryOf(GROUP).upstream
    old.paused = true
    await purchase(writer, 'frozen', 'z2')
    old.paused = false
    old.resume()
    await deployment.waitForPrimaries()
    expect(await readRequests(await deployment.connect(1), 'frozen', 'id')).toEqual(['z1', 'z2'])
  })

  it('completes a promotion whose response is lost', async () => {
    deployment.standins.groups.get(GROUP)!.forEach(({ faults }) => faults.loseAnswers.set('worksward_promote', 1))
    const writer = await deployment.connect(0)
    const old = deployment.primaryOf(GROUP)
    await old.crash()
    await purchase(writer, 'lost-promotion', 'p1')
    await old.restart()
    await deployment.waitForPrimaries()
    expect(await readRequests(await deployment.connect(1), 'lost-promotion', 'id')).toEqual(['p1'])
  })

  it('does not promote while only one failure domain cannot reach the primary', async () => {
    const primary = deployment.primaryOf(GROUP).upstream
    const { term } = primary.status()
    const [keeper] = deployment.keepers
    deployment.network.cut(keeper!.name, primary.name)
    const watch = (): { failures: number } =>
      keeper!.kernel.use('failover').watches().get(GROUP)!.dump() as { failures: number }
    await until(() => watch().failures > 8)
    expect(deployment.primaryOf(GROUP).upstream.status().term).toEqual(term)
    deployment.network.mend()
  })
})
