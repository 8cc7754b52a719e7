import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { GROUP, purchase, readRequests, readToken, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

describe('end-to-end requests', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  it('lets a session read its own write through every proxy, by token', async () => {
    const writer = await deployment.connect(0)
    await purchase(writer, 'token-session', 'p1')
    const token = await readToken(writer)
    for (const proxy of [0, 1, 2]) {
      const reader = await deployment.connect(proxy)
      expect(await readRequests(reader, 'token-session', token)).toEqual(['p1'])
    }
  })

  it('lets a session read its own write through every proxy, by session id', async () => {
    const writer = await deployment.connect(1)
    await purchase(writer, 'id-session', 'p2')
    for (const proxy of [0, 1, 2]) {
      const reader = await deployment.connect(proxy)
      expect(await readRequests(reader, 'id-session', 'any-id')).toEqual(['p2'])
    }
  })

  it('runs a request once when it is retried with the same key through another proxy', async () => {
    const first = await deployment.connect(0)
    const second = await deployment.connect(2)
    await purchase(first, 'repeat', 'p3')
    await purchase(second, 'repeat', 'p3')
    expect(await readRequests(second, 'repeat')).toEqual(['p3'])
  })

  it('rejects a key that was used for another request, and runs nothing', async () => {
    const connection = await deployment.connect(0)
    await purchase(connection, 'reused', 'p4')
    const other = "INSERT INTO records (session, request, amount) VALUES ('reused', 'other', 1) " +
      "/*worksward_kind='purchase',worksward_key='p4'*/"
    await expect(connection.query(other)).toBeRejectedWith('was used for another request')
    expect(await readRequests(connection, 'reused')).toEqual(['p4'])
  })

  it('runs prepared statements with values of each type', async () => {
    const connection = await deployment.connect(1)
    const sql = "SELECT ? AS text, ? AS number, ? AS missing, 2.5 AS fraction /*worksward_kind='grid'*/"
    const [rows] = await connection.execute(sql, ["it's \\ 100%", 42, null])
    expect(rows as unknown).toEqual([{ text: "it's \\ 100%", number: 42, missing: null, fraction: 2.5 }])
  })

  it('commits and rolls back transactions atomically', async () => {
    const connection = await deployment.connect(2)
    for (const end of ['COMMIT', 'ROLLBACK']) {
      await connection.query('BEGIN')
      await connection.query(`INSERT INTO records (session, request, amount) VALUES ('tx', '${end}-1', 0)`)
      await connection.query(`INSERT INTO records (session, request, amount) VALUES ('tx', '${end}-2', 0)`)
      await connection.query(end)
    }
    expect(await readRequests(connection, 'tx')).toEqual(['COMMIT-1', 'COMMIT-2'])
  })

  it('promotes another upstream when the primary crashes, and keeps acknowledged writes', async () => {
    const connection = await deployment.connect(0)
    await purchase(connection, 'failover', 'before')
    const old = deployment.primaryOf(GROUP)
    await old.crash()
    await purchase(connection, 'failover', 'after')
    expect(deployment.primaryOf(GROUP).upstream.name).not.toEqual(old.upstream.name)
    expect(await readRequests(connection, 'failover')).toEqual(['before', 'after'])
    await old.restart()
  })
})
