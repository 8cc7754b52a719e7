import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { callConsole } from '../../../src/cli/worksward/console-client.ts'
import { EMBEDDED_OPERATOR_KEY } from '../../../src/emulation/embedded/sizes.ts'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../../fixtures/deployment.ts'

describe('duties of a group', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment() })
  after(async () => await deployment.close())

  const setDuty = async (duty: string, mode: string): Promise<void> => {
    const server = `127.0.0.1:${deployment.proxies[0]!.httpPort}`
    const query = `set ${GROUP}.duties.${duty} = ${mode}`
    const { rows } = await callConsole<{ rows: Array<{ revision: number }> }>(
      { server, key: EMBEDDED_OPERATOR_KEY }, '/query', { query })
    await until(() => [...deployment.proxies, ...deployment.keepers].every(({ kernel }) =>
      kernel.use('configuration').revision >= rows[0]!.revision))
  }

  /** Simulates an external failover script: fences all running servers, promotes one and points the others at it. */
  const promoteByScript = (name: string): void => {
    const servers = [...deployment.standins.groups.get(GROUP)!.values()].filter(({ upstream }) => !upstream.crashed)
    const term = Math.max(...servers.map(({ upstream }) => upstream.status().fencedTerm)) + 1
    servers.forEach(({ upstream }) => upstream.fence(term))
    deployment.upstream(GROUP, name).upstream.promote(term)
    servers.forEach(({ upstream }) => upstream.follow(name, term))
  }

  it('leaves promotion to an external script in mode observe, and promotes in mode act', async () => {
    const connection = await deployment.connect(0)
    await setDuty('promotion', 'observe')
    const first = deployment.primaryOf(GROUP)
    const { term } = first.upstream.status()
    await first.crash()
    const watches = deployment.keepers.map(({ kernel }) => kernel.use('failover').watches().get(GROUP)!)
    await until(() => watches.some((watch) => (watch.dump() as { reportedTerm: number }).reportedTerm === term))
    expect(deployment.primaryOf(GROUP)).toEqual(first)
    const successor = [...deployment.standins.groups.get(GROUP)!.values()].find(({ upstream }) => !upstream.crashed)!
    promoteByScript(successor.upstream.name)
    await purchase(connection, 'duty', 'by-script')

    await setDuty('promotion', 'act')
    await first.restart()
    await deployment.waitForPrimaries()
    const second = deployment.primaryOf(GROUP)
    await second.crash()
    await purchase(connection, 'duty', 'by-worksward')
    await second.restart()
    await deployment.waitForPrimaries()

    await setDuty('promotion', 'observe')
    const third = deployment.primaryOf(GROUP)
    await third.crash()
    await until(() => watches.some((watch) =>
      (watch.dump() as { reportedTerm: number }).reportedTerm === third.upstream.status().term))
    expect(deployment.primaryOf(GROUP)).toEqual(third)
    await third.restart()
    await setDuty('promotion', 'act')
    await deployment.waitForPrimaries()
    expect(await readRequests(connection, 'duty')).toEqual(['by-script', 'by-worksward'])
  })

  it('sends every read to the primary while the duty `reads` is off', async () => {
    const connection = await deployment.connect(0)
    await setDuty('reads', 'off')
    const before = deployment.proxies.map(({ kernel }) => kernel.use('routing').counts().readsOnReplicas)
    await readRequests(connection, 'nobody')
    expect(deployment.proxies.map(({ kernel }) => kernel.use('routing').counts().readsOnReplicas)).toEqual(before)
    await setDuty('reads', 'act')
  })

  it('sends no new statements to a replica that reports it is leaving, unless the duty `draining` is off', async () => {
    const connection = await deployment.connect(0)
    const home = deployment.proxies[0]!.kernel.use('routing').homes().get(GROUP)!
    const leaving = deployment.upstream(GROUP, home.view.replicaNames[0]!).upstream
    leaving.leaving = true
    await until(async () => {
      await readRequests(connection, 'nobody')
      return !home.view.isAvailable(leaving.name)
    })
    const statementsServed = (): number => deployment.upstream(GROUP, leaving.name).upstream.statementsServed
    const before = statementsServed()
    for (let attempt = 0; attempt < 20; attempt++) {
      await readRequests(connection, 'nobody')
    }
    expect(statementsServed()).toEqual(before)
    await setDuty('draining', 'off')
    expect(home.view.isAvailable(leaving.name)).toEqual(true)
    leaving.leaving = false
  })
})
