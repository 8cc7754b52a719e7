import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { StatementAnswer } from '../../../src/entry/ports/index.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeRoute } from '../../fixtures/fleet/world.ts'

const HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8', 'h9', 'h10']
const VIEW: FakeRoute = { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
/** Connection cap of each upstream. */
const CAP = 16
/** Time for which an upstream counts the connections of hosts without power, in milliseconds. */
const LINGER_MS = 3000
/** Time for started hosts to discover each other, in milliseconds. */
const STARTED_MS = 400

describe('ten hosts that lose power at once', () => {
  const suite = setUpWorld(HOSTS, [MONEY, VIEW])
  const upstreams = () => [...suite.world.upstreams.all.values()]
  /** Sends a read and a write to the hosts in turn, every 20 ms. */
  const generateLoad = async (durationMs: number): Promise<StatementAnswer[]> => {
    const answers: StatementAnswer[] = []
    for (let elapsed = 0; elapsed < durationMs; elapsed += 20) {
      const host = HOSTS[(elapsed / 20) % HOSTS.length]!
      void suite.world.connect(host, 'money').write().then((answer) => answers.push(answer))
      void suite.world.connect(host, 'view').read().then((answer) => answers.push(answer))
      await suite.clock.tickAsync(20)
    }
    await suite.clock.tickAsync(1000)
    return answers
  }

  it('are served again while their former connections still count at the upstreams', async () => {
    suite.world.cap = CAP
    suite.world.configure([MONEY, VIEW])
    upstreams().forEach((upstream) => { upstream.maximumConnections = CAP })
    await suite.clock.tickAsync(3000)
    await generateLoad(1000)
    upstreams().forEach((upstream) => { upstream.formerConnections = upstream.connections.size })
    const kills = Promise.all(HOSTS.map(async (host) => await suite.world.kill(host)))
    await suite.clock.tickAsync(500)
    await kills
    upstreams().forEach(({ connections }) => [...connections].forEach((connection) => connection.close()))
    for (const host of HOSTS) {
      await suite.world.startHost(host)
    }
    await suite.clock.tickAsync(STARTED_MS)
    const answers = await generateLoad(LINGER_MS - 500 - STARTED_MS - 1000)
    const refused = answers.filter(({ failure }) => failure !== undefined)
    expect(answers.length > 100).toEqual(true)
    expect(refused.length <= answers.length * 0.02).toEqual(true)
  })
})
