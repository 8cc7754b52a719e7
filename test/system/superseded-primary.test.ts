import { after, afterEach, before, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'

/** Greatest age that the kind `grid` accepts, in milliseconds. */
const GRID_AGE_MS = 1000

/** Cuts the upstreams with these indexes, the primary being 0, and the first proxy off from everything else. */
function cutOff (deployment: TestDeployment, count: number): void {
  const old = deployment.primaryOf(GROUP).upstream.name
  const names = [old, ...[...deployment.standins.groups.get(GROUP)!.keys()].filter((name) => name !== old)]
  const [near, ...far] = deployment.proxies.map(({ name }) => name) as [string, ...string[]]
  const processes = [...far, ...deployment.keepers.map(({ name }) => name)]
  const [kept, lost] = [names.slice(0, count), names.slice(count)]
  kept.forEach((inside) => lost.forEach((outside) => deployment.standins.cutReplication(outside, inside)))
  lost.forEach((outside) => deployment.network.cut(near, outside))
  processes.forEach((process) => [...kept, near].forEach((inside) => deployment.network.cut(process, inside)))
}

/** Returns the requests that a read through the first proxy returns, or `refused`. */
async function readAs (deployment: TestDeployment, kind: string): Promise<string[] | 'refused'> {
  const connection = await deployment.connect(0)
  const sql = `SELECT request FROM records WHERE session = 'old' ORDER BY id /*worksward_kind='${kind}'*/`
  return await connection.query(sql).then(
    ([rows]) => (rows as Array<{ request: string }>).map(({ request }) => request), () => 'refused' as const)
}

describe('a proxy that reaches only a superseded primary', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  it('serves no read from it that is older than the kind accepts', async () => {
    const old = deployment.primaryOf(GROUP).upstream
    await purchase(await deployment.connect(0), 'old', 'o1')
    expect(await readAs(deployment, 'strict')).toEqual(['o1'])
    cutOff(deployment, 1)
    await until(() => deployment.primaryOf(GROUP).upstream !== old)
    await purchase(await deployment.connect(1), 'old', 'o2')
    const writtenAt = performance.now()
    expect(await readAs(deployment, 'strict')).toEqual('refused')
    await until(() => performance.now() - writtenAt > GRID_AGE_MS)
    expect(await readAs(deployment, 'grid')).toEqual('refused')
    deployment.network.mend()
    deployment.standins.mendReplication()
    await deployment.waitForPrimaries()
    expect(await readAs(deployment, 'strict')).toEqual(['o1', 'o2'])
  })
})

describe('a proxy that reaches only a superseded primary and a replica of it', () => {
  let deployment: TestDeployment
  beforeEach(async () => { deployment = await startTestDeployment({ upstreamsPerGroup: 5 }) })
  afterEach(async () => await deployment.close())

  it('serves no read from the replica that is older than the kind accepts', async () => {
    const old = deployment.primaryOf(GROUP).upstream
    await purchase(await deployment.connect(0), 'old', 'o1')
    expect(await readAs(deployment, 'grid')).toEqual(['o1'])
    cutOff(deployment, 2)
    await until(() => deployment.primaryOf(GROUP).upstream !== old)
    await purchase(await deployment.connect(1), 'old', 'o2')
    const writtenAt = performance.now()
    await until(() => performance.now() - writtenAt > GRID_AGE_MS)
    expect(await readAs(deployment, 'grid')).toEqual('refused')
  })
})
