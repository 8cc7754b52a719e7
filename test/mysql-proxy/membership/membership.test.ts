import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../../fixtures/deployment.ts'

describe('membership', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  const statesKnownBy = (index: number): Map<string, string> => new Map(
    deployment.proxies[index]!.kernel.use('membership').known().map(({ host, state }) => [host, state]))

  it('marks a killed proxy as gone while the platform still lists it as live', async () => {
    const extra = await deployment.addProxy('proxy-doomed', 'seoul-a')
    await until(() => statesKnownBy(0).get('proxy-doomed') === 'live')
    await deployment.kill(extra)
    await until(() => statesKnownBy(0).get('proxy-doomed') === undefined)
    deployment.proxies.pop()
    const connection = await deployment.connect(0)
    await purchase(connection, 'doomed', 'd1')
    expect(await readRequests(connection, 'doomed')).toEqual(['d1'])
  })

  it('keeps a proxy live when only its link to one other proxy is cut', async () => {
    deployment.network.cut('proxy-1', 'proxy-2')
    const countKnown = (): number => deployment.proxies[0]!.kernel.use('membership').known().length
    await until(() => !deployment.proxies[0]!.kernel.use('membership').answers('proxy-2'))
    expect(statesKnownBy(0).get('proxy-2')).toEqual('live')
    expect(countKnown()).toEqual(6)
    deployment.network.mend()
  })

  it('assigns no work to a proxy that the platform lists as leaving', async () => {
    const proxy = deployment.proxies[2]!
    const { port } = proxy.kernel.use('peers')
    deployment.standins.platform.setHost({
      host: proxy.name, role: 'proxy', failureDomain: proxy.failureDomain, address: '127.0.0.1', port, state: 'leaving'
    })
    await until(() => deployment.proxies.every(({ kernel }) =>
      !kernel.use('routing').homesOf(GROUP).some(({ host }) => host === proxy.name)))
    expect(proxy.kernel.use('membership').self.state).toEqual('leaving')
  })

  it('starts with the configuration of its peers while the platform is down', async () => {
    deployment.standins.platform.faults.outage = true
    const late = await deployment.addProxy('proxy-late', 'seoul-c')
    await until(() => late.kernel.use('configuration').ready)
    const index = deployment.proxies.indexOf(late)
    const connection = await deployment.connect(index)
    await purchase(connection, 'late', 'l1')
    expect(await readRequests(connection, 'late')).toEqual(['l1'])
    deployment.standins.platform.faults.outage = false
  })
})
