import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { createCaller, type Caller } from '../../src/emulation/load/caller.ts'
import { ASSOCIATION_SIZES, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../../src/emulation/embedded/sizes.ts'
import { startProcesses, type ProcessDeployment } from '../fixtures/process-deployment.ts'
import { GROUP, until } from '../fixtures/deployment.ts'

describe('separate processes', () => {
  let deployment: ProcessDeployment
  before(async () => {
    deployment = await startProcesses({ ...ASSOCIATION_SIZES, groups: [GROUP], readMs: 0, writeMs: 0 })
  })
  after(async () => await deployment.close())

  const callerOn = (proxy: number): Caller => createCaller({
    proxies: deployment.proxies.map(({ started }) => ({ address: '127.0.0.1', port: Number(started['callers']) })),
    user: EMBEDDED_SERVICE,
    password: EMBEDDED_PASSWORD,
    database: GROUP
  }, proxy)
  const insert = async (caller: Caller, session: string, request: string): Promise<void> => {
    await caller.query(`INSERT INTO records (session, request, amount) VALUES ('${session}', '${request}', 1) /*worksward_kind='purchase',worksward_key='${request}'*/`)
  }
  const read = async (caller: Caller, session: string): Promise<string[]> => {
    const rows = await caller.query(
      `SELECT request FROM records WHERE session = '${session}' ORDER BY id /*worksward_kind='grid',worksward_session='x'*/`)
    return rows.map((row) => String(row['request']))
  }
  const primaryName = async (): Promise<string> => {
    const entries = Object.entries(await deployment.upstreams(GROUP)).filter(([, { role }]) => role === 'primary')
    return entries.sort(([, left], [, right]) => right.term - left.term)[0]![0]
  }

  it('fails over while the first keeper is stopped, and does not lose writes or lower the term when the keeper resumes', async () => {
    const caller = callerOn(0)
    await insert(caller, 'frozen-keeper', 'k1')
    const stoppedKeepers = deployment.keepers.slice(0, 1)
    stoppedKeepers.forEach((keeper) => keeper.signal('SIGSTOP'))
    const old = await primaryName()
    await deployment.fault({ type: 'crash', group: GROUP, upstream: old })
    await insert(caller, 'frozen-keeper', 'k2')
    await deployment.fault({ type: 'restart', group: GROUP, upstream: old })
    const { term } = (await deployment.upstreams(GROUP))[await primaryName()]!
    stoppedKeepers.forEach((keeper) => keeper.signal('SIGCONT'))
    await insert(caller, 'frozen-keeper', 'k3')
    expect((await deployment.upstreams(GROUP))[await primaryName()]!.term >= term).toEqual(true)
    expect(await read(caller, 'frozen-keeper')).toEqual(['k1', 'k2', 'k3'])
  })

  it('keeps serving when a proxy is killed, and rolls back its transaction', async () => {
    const interrupted = callerOn(1)
    await interrupted.query('BEGIN')
    await interrupted.query("INSERT INTO records (session, request, amount) VALUES ('killed', 'v1', 0)")
    deployment.proxies[1]!.signal('SIGKILL')
    await expect(interrupted.query('COMMIT')).toBeRejected()
    const caller = callerOn(0)
    await insert(caller, 'killed', 'v2')
    expect(await read(callerOn(2), 'killed')).toEqual(['v2'])
  })

  it('dumps its state over HTTP', async () => {
    const state = await deployment.dump(deployment.proxies[0]!)
    expect(Object.keys(state).includes('routing')).toEqual(true)
  })

  it('finishes requests in flight on a planned stop', async () => {
    await deployment.fault({ type: 'lag', group: GROUP, upstream: `${GROUP}-1`, lagMs: 150 })
    await deployment.fault({ type: 'lag', group: GROUP, upstream: `${GROUP}-2`, lagMs: 150 })
    await deployment.fault({ type: 'lag', group: GROUP, upstream: `${GROUP}-3`, lagMs: 150 })
    const callers = Array.from({ length: 10 }, () => callerOn(2))
    await Promise.all(callers.map(async (caller) => await caller.query('SELECT @@worksward_session')))
    const writing = callers.map(async (caller, index) => await insert(caller, 'planned', `p${index}`))
    const stopping = deployment.proxies[2]!
    stopping.signal('SIGTERM')
    await Promise.all(writing)
    expect(await stopping.exited).toEqual(0)
    const caller = callerOn(0)
    await until(async () => (await read(caller, 'planned')).length === 10)
  })
})
