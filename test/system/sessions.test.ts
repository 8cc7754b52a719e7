import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, readRequests, readToken, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'

describe('sessions', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  /** Sets the replication lag of every upstream of the group. */
  const setLag = (lagMs: number): void => {
    deployment.standins.groups.get(GROUP)!.forEach(({ upstream }) => { upstream.lagMs = lagMs })
  }

  it('keeps reads of a session monotonic when the next proxy prefers a lagging replica', async () => {
    const servers = [...deployment.standins.groups.get(GROUP)!.values()]
    const [lagging] = servers.filter((server) => server !== deployment.primaryOf(GROUP))
    lagging!.upstream.lagMs = 400
    const writer = await deployment.connect(0)
    await purchase(writer, 'lagging', 'l1')
    const token = await readToken(writer)
    for (let turn = 0; turn < 12; turn++) {
      const reader = await deployment.connect(turn % 3)
      expect(await readRequests(reader, 'lagging', token)).toEqual(['l1'])
      expect(await readRequests(reader, 'lagging', `id-${turn}`)).toEqual(['l1'])
    }
    setLag(5)
  })

  it('keeps a session consistent by token across a failover', async () => {
    const writer = await deployment.connect(0)
    await purchase(writer, 'through', 'w1')
    const token = await readToken(writer)
    const old = deployment.primaryOf(GROUP)
    await old.crash()
    const reader = await deployment.connect(1)
    expect(await readRequests(reader, 'through', token)).toEqual(['w1'])
    await until(() => deployment.primaryOf(GROUP) !== old)
    expect(await readRequests(await deployment.connect(2), 'through', token)).toEqual(['w1'])
    await old.restart()
    await deployment.waitForPrimaries()
  })

  it('does not read from a superseded primary that still responds', async () => {
    const old = deployment.primaryOf(GROUP).upstream
    const others = [...deployment.standins.groups.get(GROUP)!.keys()].filter((name) => name !== old.name)
    deployment.keepers.forEach(({ name }) => deployment.network.cut(name, old.name))
    others.forEach((name) => deployment.standins.cutReplication(name, old.name))
    deployment.proxies.slice(1).forEach(({ name }) => deployment.network.cut(name, old.name))
    await until(() => deployment.primaryOf(GROUP).upstream !== old)
    const writer = await deployment.connect(1)
    await purchase(writer, 'superseded', 's1')
    const token = await readToken(writer)
    const nearOld = await deployment.connect(0)
    expect(await readRequests(nearOld, 'superseded', token)).toEqual(['s1'])
    expect(await readRequests(nearOld, 'superseded', 'just-an-id')).toEqual(['s1'])
    deployment.network.mend()
    deployment.standins.mendReplication()
    await deployment.waitForPrimaries()
  })

  it('rejects a modified token', async () => {
    const connection = await deployment.connect(0)
    const token = await readToken(connection)
    const changed = token.slice(0, -4) + (token.endsWith('AAAA') ? 'BBBB' : 'AAAA')
    await expect(readRequests(connection, 'any', changed)).toBeRejectedWith('was not made here or has been changed')
    expect(await readRequests(connection, 'any', token)).toEqual([])
  })
})
