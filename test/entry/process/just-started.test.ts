import { describe, it } from 'node:test'
import { expect } from 'earl'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

describe('a host that has just started', () => {
  const suite = setUpWorld(['h1', 'h2'])

  it('serves a caller that connected before the desired state was known, as soon as it is known', async () => {
    suite.world.store.answerMs = 60
    await suite.world.startHost('h3')
    const { failure } = await suite.settle(suite.world.connect('h3', 'money').write(), 700)
    expect(failure).toEqual(undefined)
  })

  it('reports a retry delay instead of an unknown database while no desired state is known', async () => {
    suite.world.store.cutOff.add('h3')
    suite.world.silent.add('h3')
    await suite.world.startHost('h3')
    const sentAt = performance.now()
    const answering = suite.world.connect('h3', 'money').write().then((answer) =>
      ({ ...answer, tookMs: performance.now() - sentAt }))
    const { failure, tookMs } = await suite.settle(answering, 1000)
    expect(failure?.kind).toEqual('busy')
    expect(failure?.message.includes('retry after')).toEqual(true)
    expect(tookMs <= 500).toEqual(true)
  })

  it('reports an unknown database once the desired state is known', async () => {
    const { failure } = await suite.settle(suite.world.connect('h1', 'nowhere').write(), 100)
    expect(failure?.kind).toEqual('unknown-database')
  })
})
