import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import type { Connection } from 'mysql2/promise'
import { GROUP, readRequests, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'

describe('transactions', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  const insert = async (connection: Connection, session: string, request: string): Promise<void> => {
    await connection.query(`INSERT INTO records (session, request, amount) VALUES ('${session}', '${request}', 0)`)
  }

  it('isolates the statements of two callers', async () => {
    const [first, second] = await Promise.all([0, 1].map(async (proxy) => await deployment.connect(proxy)))
    await first!.query('BEGIN')
    await insert(first!, 'apart', 'first')
    const other = insert(second!, 'apart', 'second')
    await first!.query('ROLLBACK')
    await other
    expect(await readRequests(second!, 'apart')).toEqual(['second'])
  })

  it('rolls back when the caller disconnects during a transaction', async () => {
    const connection = await deployment.connect(0)
    await connection.query('BEGIN')
    await insert(connection, 'gone-caller', 'g1')
    connection.destroy()
    expect(await readRequests(await deployment.connect(1), 'gone-caller', 'id')).toEqual([])
    await until(() => deployment.proxies.every(({ kernel }) =>
      [...kernel.use('routing').homes().values()].every((home) => home.activeCount === 0)))
  })

  it('reports a rollback when the primary crashes during a transaction', async () => {
    const connection = await deployment.connect(0)
    await connection.query('BEGIN')
    await insert(connection, 'gone-primary', 'g1')
    const old = deployment.primaryOf(GROUP)
    await old.crash()
    await expect(insert(connection, 'gone-primary', 'g2')).toBeRejectedWith('[verdict: not-run]')
    await until(() => deployment.primaryOf(GROUP) !== old)
    await old.restart()
    await deployment.waitForPrimaries()
    expect(await readRequests(connection, 'gone-primary', 'id')).toEqual([])
    await connection.query('BEGIN')
    await insert(connection, 'gone-primary', 'g3')
    await connection.query('COMMIT')
    expect(await readRequests(connection, 'gone-primary', 'id')).toEqual(['g3'])
  })

  it('begins on the new primary when its home has not seen the change, and rejects a transaction already open on the old one', async () => {
    const connections = await Promise.all([0, 1, 2].map(async (proxy) => await deployment.connect(proxy)))
    const changePrimary = async (): Promise<void> => {
      const servers = [...deployment.standins.groups.get(GROUP)!.values()]
      const old = deployment.primaryOf(GROUP).upstream
      const term = old.status().term + 1
      servers.forEach(({ upstream }) => upstream.fence(term))
      const successor = servers.find(({ upstream }) => upstream !== old)!
      successor.upstream.promote(term)
      servers.forEach(({ upstream }) => upstream.follow(successor.upstream.name, term))
    }
    const positions = (): number[] =>
      [...deployment.standins.groups.get(GROUP)!.values()].map(({ upstream }) => upstream.log.end.position)
    await until(() => new Set(positions()).size === 1)
    await Promise.all(connections.map(async (connection) => await connection.query('BEGIN')))
    await insert(connections[2]!, 'moved', 'too-late')
    await connections[2]!.query('SELECT 1')
    await changePrimary()
    await insert(connections[0]!, 'moved', 'in-time')
    await connections[0]!.query('COMMIT')
    const continueTransaction = async (): Promise<void> => {
      await insert(connections[2]!, 'moved', 'too-late')
      await connections[2]!.query('COMMIT')
    }
    await expect(continueTransaction()).toBeRejectedWith('[verdict: not-run]')
    expect(await readRequests(connections[1]!, 'moved', 'id')).toEqual(['in-time'])
    await deployment.waitForPrimaries()
  })

  it('resolves the outcome of a COMMIT whose response is lost', async () => {
    const connection = await deployment.connect(2)
    await connection.query('BEGIN')
    await insert(connection, 'lost-commit', 'l1')
    await insert(connection, 'lost-commit', 'l2')
    deployment.primaryOf(GROUP).faults.loseAnswers.set('worksward_commit', 1)
    await connection.query('COMMIT')
    expect(await readRequests(connection, 'lost-commit')).toEqual(['l1', 'l2'])
  })

  it('resolves the outcome of a COMMIT whose home is killed during the commit', async () => {
    const home = deployment.proxies[0]!.kernel.use('routing').homesOf(GROUP)[0]!.host
    const domains = deployment.proxies.filter(({ name }) => name !== home)
    const extra = await deployment.addProxy('proxy-extra', domains[0]!.failureDomain)
    const entry = deployment.proxies.indexOf(extra)
    await until(() => deployment.proxies.every(({ kernel }) => kernel.use('membership').available('proxy').length === 4))
    const connection = await deployment.connect(entry)
    await connection.query('BEGIN')
    await insert(connection, 'dying-home', 'd1')
    const homes = deployment.proxies.filter(({ kernel }) =>
      [...kernel.use('routing').homes().values()].some((group) => group.activeCount > 0))
    const position = deployment.primaryOf(GROUP).upstream.log.end.position
    deployment.standins.groups.get(GROUP)!.forEach(({ upstream }) => { upstream.lagMs = 300 })
    const committing = connection.query('COMMIT')
    await until(() => deployment.primaryOf(GROUP).upstream.log.end.position > position)
    if (homes[0]!.name !== extra.name) {
      await deployment.kill(homes[0]!)
    }
    await committing
    deployment.standins.groups.get(GROUP)!.forEach(({ upstream }) => { upstream.lagMs = 5 })
    expect(await readRequests(connection, 'dying-home', 'id')).toEqual(['d1'])
  })
})
