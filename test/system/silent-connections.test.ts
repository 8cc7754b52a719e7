import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'

/** Number of concurrent statements that leave idle connections in the pools. */
const CONCURRENT = 6

describe('a deployment whose open connections have all gone silent', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  it('serves new callers of all proxies, and keeps its primary and its members', { timeout: 60_000 }, async () => {
    const { network, proxies, keepers, primaryOf } = deployment
    const { term } = primaryOf(GROUP).upstream.status()
    const early = await Promise.all(Array.from({ length: CONCURRENT }, async () => await deployment.connect(0)))
    await Promise.all(early.map(async (connection, index) => await purchase(connection, 'early', `e${index}`)))
    network.silence()
    for (const index of proxies.keys()) {
      const served = async (): Promise<boolean> => {
        const connection = await deployment.connect(index)
        return await purchase(connection, 'late', `l${index}`).then(() => true, () => false)
      }
      await until(served)
      expect((await readRequests(await deployment.connect(index), 'late')).includes(`l${index}`)).toEqual(true)
    }
    const hosts = [...proxies, ...keepers]
    await until(() => hosts.every(({ kernel }) =>
      hosts.every(({ name }) => kernel.use('membership').known().some(({ host, state }) => host === name && state === 'live') ||
        kernel.use('membership').self.host === name)))
    expect(primaryOf(GROUP).upstream.status().term).toEqual(term)
  })
})
