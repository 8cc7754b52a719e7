import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { EMBEDDED_ACCOUNT } from '../../../src/emulation/embedded/sizes.ts'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { Deadline } from '../../../src/core/time/deadline.ts'
import { electPrimary } from '../../../src/mysql-proxy/failover/election.ts'
import { GroupView } from '../../../src/mysql-proxy/upstreams/group-view.ts'
import { GROUP, startTestDeployment, until, type TestDeployment } from '../../fixtures/deployment.ts'

describe('electPrimary', () => {
  let deployment: TestDeployment
  before(async () => { deployment = await startTestDeployment({ keepers: 0 }, { waitForPrimaries: false }) })
  after(async () => await deployment.close())

  const createView = (): GroupView => new GroupView({
    name: GROUP,
    group: { ...deployment.declarations.groups[GROUP]!, account: EMBEDDED_ACCOUNT },
    dialer: createDialer(),
    statusTimeoutMs: 500
  })

  it('elects at most one primary per term when several keepers run elections concurrently', async () => {
    const leaders = new Map<number, string>()
    for (let round = 0; round < 8; round++) {
      const views = Array.from({ length: 4 }, createView)
      await Promise.all(views.map(async (view) =>
        await Promise.allSettled([...view.upstreams.values()].map(async ({ channel }) => await channel.fetchStatus()))))
      const results = await Promise.all(views.map(async (view) => await electPrimary({ view, planned: false })))
      for (const result of results) {
        if (result.type === 'promoted') {
          expect(leaders.get(result.term) ?? result.primary).toEqual(result.primary)
          leaders.set(result.term, result.primary)
        }
      }
      views.forEach((view) => view.close())
    }
    expect(leaders.size > 0).toEqual(true)
    const leading = [...deployment.standins.groups.get(GROUP)!.values()].map(({ upstream }) => upstream.status())
      .filter(({ role, term, fencedTerm }) => role === 'primary' && fencedTerm === term)
    expect(new Set(leading.map(({ term }) => term)).size).toEqual(leading.length)
  })

  it('does not count a superseded primary as a replica of its own writes', async () => {
    const servers = [...deployment.standins.groups.get(GROUP)!.values()]
    const view = createView()
    await view.refreshAndWait()
    const first = await electPrimary({ view, planned: false })
    expect(first.type).toEqual('promoted')
    await deployment.waitForPrimaries()
    const oldPrimary = deployment.primaryOf(GROUP).upstream
    const others = servers.map(({ upstream }) => upstream).filter((upstream) => upstream !== oldPrimary)
    others.forEach((upstream) => deployment.standins.cutReplication(upstream.name, oldPrimary.name))
    const { term } = oldPrimary.status()
    others.forEach((upstream) => upstream.fence(term + 1))
    others[0]!.promote(term + 1)
    others[1]!.follow(others[0]!.name, term + 1)
    await view.refreshAndWait()
    expect(view.leadership).toEqual({ term: term + 1, primary: others[0]!.name })
    await oldPrimary.run({ sql: "INSERT INTO records (session, request, amount) VALUES ('late', 'late', 1)" })
    await view.refreshAndWait()
    expect(await view.waitForMajority(oldPrimary.log.end, oldPrimary.name, new Deadline(200))).toEqual(false)
    deployment.standins.mendReplication()
    view.close()
  })

  it('promotes the preferred upstream in a planned change even if others accept the fence earlier', async () => {
    const view = createView()
    for (const preferred of deployment.standins.groups.get(GROUP)!.keys()) {
      await view.refreshAndWait()
      const upstreams = [...deployment.standins.groups.get(GROUP)!.values()].map(({ upstream }) => upstream)
      upstreams.forEach((upstream) => upstream.follow(view.leadership.primary, view.leadership.term))
      await until(() => new Set(upstreams.map(({ log }) => JSON.stringify(log.end))).size === 1)
      const slow = view.upstreams.get(preferred)!.channel
      const command = slow.command.bind(slow)
      slow.command = async (name, values) => {
        await new Promise((resolve) => setTimeout(resolve, 50))
        return await command(name, values)
      }
      const result = await electPrimary({ view, preferred, planned: true })
      expect(result.type === 'promoted' ? result.primary : result.reason).toEqual(preferred)
      slow.command = command
      await deployment.waitForPrimaries()
    }
    view.close()
  })

  // Guards against a change of primary to an upstream that lacks what was written until the fence.
  it('lets the old primary lead in a new term when the successor lacks writes from before the fence', async () => {
    const view = createView()
    await view.refreshAndWait()
    await deployment.waitForPrimaries()
    const oldPrimary = deployment.primaryOf(GROUP).upstream
    const replicas = [...deployment.standins.groups.get(GROUP)!.values()].map(({ upstream }) => upstream)
      .filter((upstream) => upstream !== oldPrimary)
    const { channel } = view.upstreams.get(oldPrimary.name)!
    const command = channel.command.bind(channel)
    channel.command = async (name, values) => {
      if (name === 'fence') {
        replicas.forEach((replica) => deployment.standins.cutReplication(replica.name, oldPrimary.name))
        await oldPrimary.run({ sql: "INSERT INTO records (session, request, amount) VALUES ('last', 'last', 1)" })
      }
      return await command(name, values)
    }
    const result = await electPrimary({ view, preferred: replicas[0]!.name, planned: true })
    deployment.standins.mendReplication()
    expect(result.type === 'promoted' ? result.primary : result.reason).toEqual(oldPrimary.name)
    view.close()
  })

  it('fails when a majority cannot be fenced', async () => {
    const view = createView()
    const [first, second] = [...deployment.standins.groups.get(GROUP)!.values()]
    await Promise.all([first!.crash(), second!.crash()])
    const result = await electPrimary({ view, planned: false })
    expect(result.type).toEqual('failed')
    await Promise.all([first!.restart(), second!.restart()])
    view.close()
  })
})
