import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { randomUUID } from 'node:crypto'
import { callConsole, type ConsoleRow } from '../../../src/cli/worksward/console-client.ts'
import { EMBEDDED_OPERATOR_KEY } from '../../../src/emulation/embedded/sizes.ts'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../../fixtures/deployment.ts'

describe('the operators\' console', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  const access = (proxy = 0, key = EMBEDDED_OPERATOR_KEY) =>
    ({ server: `127.0.0.1:${deployment.proxies[proxy]!.httpPort}`, key })
  const query = async (text: string, proxy = 0): Promise<ConsoleRow[]> =>
    (await callConsole<{ rows: ConsoleRow[] }>(access(proxy), '/query', { query: text })).rows
  const waitForRevision = async (revision: number): Promise<void> => await until(() =>
    [...deployment.proxies, ...deployment.keepers].every(({ kernel }) => kernel.use('configuration').revision >= revision))

  it('shows every table, and filters and orders rows', async () => {
    await readRequests(await deployment.connect(0), 'any')
    for (const table of ['groups', 'services', 'sessions', 'connections', 'proxies', 'configuration', 'history']) {
      expect((await query(`show ${table}`)).length > 0).toEqual(true)
    }
    const upstreams = await query('show upstreams where domain != "seoul-a" order by upstream desc limit 2')
    expect(upstreams.map(({ upstream }) => upstream)).toEqual([`${GROUP}-3`, `${GROUP}-2`])
    await expect(query('show upstreams where rol = 1')).toBeRejectedWith("did you mean 'role'?")
  })

  it('rejects an unknown key', async () => {
    await expect(callConsole(access(0, 'wrong'), '/query', { query: 'show groups' })).toBeRejectedWith('the right to read')
  })

  it('sets a value, applies it on every process, and records the change in the history', async () => {
    const [changed] = await query(`set ${GROUP}.limits.queue = 123 because "test"`)
    await waitForRevision(Number(changed!['revision']))
    deployment.proxies.forEach(({ kernel }) =>
      expect(kernel.use('configuration').group(GROUP)!.limits.queue).toEqual(123))
    const [record] = await query('show history order by revision desc limit 1', 1)
    expect([record!['operator'], record!['reason']]).toEqual(['operator', 'test'])
    await expect(query(`set ${GROUP}.limits.queeu = 1`)).toBeRejectedWith("did you mean 'queue'?")
    await expect(query(`set ${GROUP}.limits.queue = lots`)).toBeRejectedWith('expected number')
  })

  it('accepts one of two conflicting changes, and names the accepted one in the error of the other', async () => {
    const store = deployment.proxies[0]!.kernel.use('configuration').store
    const group = deployment.proxies[0]!.kernel.use('configuration').group(GROUP)!
    const { version } = deployment.proxies[0]!.kernel.use('configuration').versions()[0]!
    const change = (changeId: string) => ({ changeId, operator: changeId, at: new Date().toISOString(), reason: '' })
    const results = await Promise.allSettled(['one', 'other'].map(async (changeId) =>
      await store.accept([{ name: GROUP, group, baseVersion: version }], change(changeId))))
    const rejected = results.find(({ status }) => status === 'rejected') as PromiseRejectedResult
    expect(results.filter(({ status }) => status === 'fulfilled').length).toEqual(1)
    expect(String(rejected.reason)).toMatchRegex(/change (one|other) made version \d+ and won/)
  })

  it('records a change once when the response to its write is lost', async () => {
    deployment.standins.platform.faults.loseWriteAnswers = 1
    const [changed] = await query(`set ${GROUP}.limits.queue = 77`)
    const history = await query('show history')
    expect(history.filter(({ change }) => change === changed!['change']).length).toEqual(1)
  })

  it('rolls back to an earlier version by creating a new one', async () => {
    const [first] = await query(`set ${GROUP}.limits.queue = 50`)
    const [second] = await query(`set ${GROUP}.limits.queue = 60`)
    const body = { group: GROUP, version: Number(first!['version']), changeId: randomUUID(), reason: 'back' }
    const result = await callConsole<{ version: number, revision: number }>(access(), '/rollback', body)
    expect(result.version).toEqual(Number(second!['version']) + 1)
    await waitForRevision(result.revision)
    expect(deployment.proxies[2]!.kernel.use('configuration').group(GROUP)!.limits.queue).toEqual(50)
  })

  it('plans and applies declarations, and changes nothing when they are applied again', async () => {
    const declarations = structuredClone(deployment.declarations)
    declarations.groups[GROUP]!.limits.queue = 99
    const { rows } = await callConsole<{ rows: ConsoleRow[] }>(access(), '/plan', { declarations })
    expect(rows.map(({ path, after }) => [path, after])).toEqual([[`${GROUP}.limits.queue`, '99']])
    const apply = async () => await callConsole<{ groups: string[] }>(
      access(1), '/apply', { declarations, changeId: randomUUID(), reason: '' })
    expect((await apply()).groups).toEqual([GROUP])
    expect((await apply()).groups).toEqual([])
  })

  it('explains which upstream a request would be sent to', async () => {
    const [read] = await query(`explain ${GROUP} app grid`)
    const [write] = await query(`explain ${GROUP} app purchase`)
    expect(read!['role']).toEqual('replica')
    expect([write!['role'], write!['upstream']]).toEqual(['primary', deployment.primaryOf(GROUP).upstream.name])
  })

  it('promotes a replica when the primary is drained, and sends requests to it', async () => {
    const old = deployment.primaryOf(GROUP).upstream.name
    await purchase(await deployment.connect(0), 'drained', 'd1')
    await query(`drain upstream ${old}`)
    await until(() => deployment.primaryOf(GROUP).upstream.name !== old)
    const connection = await deployment.connect(1)
    await purchase(connection, 'drained', 'd2')
    expect(await readRequests(connection, 'drained')).toEqual(['d1', 'd2'])
    await query(`restore upstream ${old}`)
  })

  it('promotes the upstream named in the command', async () => {
    await deployment.waitForPrimaries()
    const target = [...deployment.standins.groups.get(GROUP)!.keys()]
      .find((name) => name !== deployment.primaryOf(GROUP).upstream.name)!
    await query(`promote ${GROUP} to ${target}`)
    expect(deployment.primaryOf(GROUP).upstream.name).toEqual(target)
  })

  // Guards against the promotion of another upstream than the one that the operator named.
  it('refuses to promote a named upstream that lags, and leaves the primary in its term', async () => {
    const [last] = await query('show history order by revision desc limit 1')
    await waitForRevision(Number(last!['revision']))
    await until(() => deployment.keepers.every(({ kernel }) =>
      !(kernel.use('failover').watches().get(GROUP)!.dump() as { electing: boolean }).electing))
    await deployment.waitForPrimaries()
    const primary = deployment.primaryOf(GROUP).upstream
    const { term } = primary.status()
    const lagging = deployment.upstream(GROUP, [...deployment.standins.groups.get(GROUP)!.keys()]
      .find((name) => name !== primary.name)!).upstream
    lagging.lagMs = 60_000
    const connection = await deployment.connect(1)
    await purchase(connection, 'lagging', 'p1')
    await expect(query(`promote ${GROUP} to ${lagging.name}`))
      .toBeRejectedWith(`${lagging.name} did not reach the log of ${primary.name}`)
    expect([deployment.primaryOf(GROUP).upstream.name, primary.status().term]).toEqual([primary.name, term])
    await purchase(connection, 'lagging', 'p2')
    lagging.lagMs = 5
    await expect(query(`promote ${GROUP} to nobody`)).toBeRejectedWith("no upstream 'nobody'")
  })

  // Guards against a handover right after the promotion of an upstream that was restored just before.
  it('promotes no upstream that is draining, and one that was restored for good', async () => {
    await deployment.waitForPrimaries()
    const target = [...deployment.standins.groups.get(GROUP)!.keys()]
      .find((name) => name !== deployment.primaryOf(GROUP).upstream.name)!
    const [drained] = await query(`drain upstream ${target}`)
    await waitForRevision(Number(drained!['revision']))
    await expect(query(`promote ${GROUP} to ${target}`)).toBeRejectedWith(`${target} is draining`)
    const [restored] = await query(`restore upstream ${target}`)
    await query(`promote ${GROUP} to ${target}`)
    await waitForRevision(Number(restored!['revision']))
    await deployment.waitForPrimaries()
    expect(deployment.primaryOf(GROUP).upstream.name).toEqual(target)
  })

  it('drains a proxy, which is then not ready and not a home of any group', async () => {
    await query('drain proxy proxy-3')
    await until(() => !deployment.proxies[0]!.kernel.use('routing').homesOf(GROUP).some(({ host }) => host === 'proxy-3'))
    expect((await fetch(`http://127.0.0.1:${deployment.proxies[2]!.httpPort}/ready`)).status).toEqual(503)
    await query('restore proxy proxy-3')
    await until(() => deployment.proxies[0]!.kernel.use('routing').homesOf(GROUP).some(({ host }) => host === 'proxy-3'))
    expect((await fetch(`http://127.0.0.1:${deployment.proxies[2]!.httpPort}/ready`)).status).toEqual(200)
  })

  it('serves metrics in the Prometheus text format', async () => {
    const text = await (await fetch(`http://127.0.0.1:${deployment.proxies[0]!.httpPort}/metrics`)).text()
    expect(text).toMatchRegex(/worksward_requests\{label="done"\} \d+/)
  })

  it('rejects a change while the platform is unavailable, and continues to serve callers', async () => {
    deployment.standins.platform.faults.outage = true
    await expect(query(`set ${GROUP}.limits.queue = 5`)).toBeRejectedWith('the platform did not answer')
    const connection = await deployment.connect(0)
    await purchase(connection, 'no-platform', 'n1')
    expect(await readRequests(connection, 'no-platform')).toEqual(['n1'])
    deployment.standins.platform.faults.outage = false
  })
})
