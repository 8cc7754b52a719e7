import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { createRequestKey } from '../../src/mysql-proxy/ledger/request-key.ts'
import { GROUP, purchase, readRequests, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

describe('at-most-once execution', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  const loseResponses = (operation: string, count: number): void =>
    deployment.standins.groups.get(GROUP)!.forEach(({ faults }) => faults.loseAnswers.set(operation, count))

  for (const operation of ['worksward_commit', 'INSERT', 'BEGIN', 'worksward_contest']) {
    it(`runs a request once when the response to ${operation} is lost`, async () => {
      const connection = await deployment.connect(0)
      loseResponses('worksward_commit', operation === 'worksward_contest' ? 1 : 0)
      loseResponses(operation, 1)
      await purchase(connection, `lost-${operation}`, `lost-${operation}`)
      loseResponses(operation, 0)
      expect(await readRequests(connection, `lost-${operation}`)).toEqual([`lost-${operation}`])
    })
  }

  it('runs a request without a key from the caller once when the response to its commit is lost', async () => {
    const connection = await deployment.connect(1)
    loseResponses('worksward_commit', 1)
    await connection.query("INSERT INTO records (session, request, amount) VALUES ('unkeyed', 'u1', 1)")
    loseResponses('worksward_commit', 0)
    expect(await readRequests(connection, 'unkeyed')).toEqual(['u1'])
  })

  it('replays the first response, including the generated id', async () => {
    const connection = await deployment.connect(0)
    const sql = "INSERT INTO records (session, request, amount) VALUES ('replay', 'r1', 1) " +
      "/*worksward_kind='purchase',worksward_key='replay-1'*/"
    const [first] = await connection.query(sql)
    const [second] = await connection.query(sql)
    expect((second as { insertId: number }).insertId).toEqual((first as { insertId: number }).insertId)
    expect(await readRequests(connection, 'replay')).toEqual(['r1'])
  })

  it('runs one of several concurrent duplicates sent through all proxies', async () => {
    const connections = await Promise.all([0, 1, 2].map(async (proxy) => await deployment.connect(proxy)))
    await Promise.all(connections.map(async (connection) => await purchase(connection, 'at-once', 'a1')))
    expect(await readRequests(connections[0]!, 'at-once')).toEqual(['a1'])
  })

  it('reports the error of the upstream when the statement itself is rejected', async () => {
    const connection = await deployment.connect(0)
    await expect(connection.query("INSERT INTO nowhere VALUES (1) /*worksward_kind='purchase'*/"))
      .toBeRejectedWith('no such table')
  })

  it('rejects a key that is older than the retention of the ledger', async () => {
    const connection = await deployment.connect(0)
    const old = createRequestKey().replace(/^[0-9a-f]{8}-[0-9a-f]{4}/, '00000000-0001')
    await expect(connection.query(`INSERT INTO records (session, request, amount) VALUES ('old', 'o', 1) /*worksward_kind='purchase',worksward_key='${old}'*/`))
      .toBeRejectedWith('is older than')
    expect(await readRequests(connection, 'old')).toEqual([])
  })

  it('runs each request once when its home is partitioned during execution', async () => {
    const home = deployment.proxies[0]!.kernel.use('routing').homesOf(GROUP)[0]!.host
    const entry = deployment.proxies.findIndex(({ name }) => name !== home)
    const connection = await deployment.connect(entry)
    const callers = await Promise.all(Array.from({ length: 20 }, async () => await deployment.connect(entry)))
    const names = callers.map((_caller, index) => `c${index}`)
    const writing = callers.map(async (caller, index) => await purchase(caller, 'cut-home', names[index]!))
    deployment.network.isolate(home)
    await Promise.all(writing)
    deployment.network.mend()
    const requests = await readRequests(connection, 'cut-home', 'id')
    expect([...requests].sort()).toEqual([...names].sort())
  })
})
