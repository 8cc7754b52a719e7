import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { EMBEDDED_ACCOUNT } from '../../src/embedded/sizes.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { electPrimary } from '../../src/failover/election.ts'
import { GroupView } from '../../src/upstreams/group-view.ts'
import { GROUP, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

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

  it('gives each term one primary at most, however many keepers try at once', async () => {
    const leaders = new Map<number, string>()
    for (let round = 0; round < 8; round++) {
      const views = Array.from({ length: 4 }, createView)
      await Promise.all(views.map(async (view) =>
        await Promise.allSettled([...view.upstreams.values()].map(async ({ channel }) => await channel.fresh()))))
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

  it('makes no primary when a majority cannot be fenced', async () => {
    const view = createView()
    const [first, second] = [...deployment.standins.groups.get(GROUP)!.values()]
    await Promise.all([first!.crash(), second!.crash()])
    const result = await electPrimary({ view, planned: false })
    expect(result.type).toEqual('failed')
    await Promise.all([first!.restart(), second!.restart()])
    view.close()
  })
})
