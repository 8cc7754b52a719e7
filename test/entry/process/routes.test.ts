import { describe, it } from 'node:test'
import { expect } from 'earl'
import { checkRoutes, type RoutedRequest, type RoutesInForce } from '../../fixtures/fleet/history.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'

/** Required time for a desired state to be in force on all hosts, in milliseconds. */
const APPLY_MS = 3000
const HOSTS = ['h1', 'h2', 'h3']
const REQUEST_EVERY_MS = 30

describe('changing routes', () => {
  const suite = setUpWorld(HOSTS)

  /** Applies desired states in sequence under load, and checks the outcome of each request. */
  const play = async (states: Array<{ atMs: number, group: string | undefined }>, lengthMs: number) => {
    const { world, clock } = suite
    const startedAt = performance.now()
    const inForce: RoutesInForce[] = [{ since: -Infinity, group: 'g' }]
    const requests: RoutedRequest[] = []
    for (let elapsed = 0; elapsed < lengthMs; elapsed += REQUEST_EVERY_MS) {
      const [next] = states
      if (next !== undefined && next.atMs <= elapsed) {
        states.shift()
        world.configure(next.group === undefined ? [{ ...MONEY, database: 'other' }] : [{ ...MONEY, group: next.group }])
        inForce.push({ since: performance.now(), group: next.group })
      }
      const host = HOSTS[(elapsed / REQUEST_EVERY_MS) % HOSTS.length]!
      const sentAt = performance.now()
      void world.connect(host, MONEY.database).write().then(({ id, failure }) => {
        requests.push({ id, host, sentAt, refused: failure?.kind === 'unknown-database' })
      })
      await clock.tickAsync(REQUEST_EVERY_MS)
    }
    await clock.tickAsync(APPLY_MS)
    expect(performance.now() > startedAt).toEqual(true)
    return checkRoutes({ requests, inForce, runs: world.upstreams.runs, applyMs: APPLY_MS })
  }
  /** Adds a second group, and waits until all hosts know it. */
  const addSecondGroup = async (): Promise<void> => {
    suite.world.addGroup('k')
    suite.world.configure([MONEY, { ...MONEY, database: 'second', group: 'k' }])
    await suite.clock.tickAsync(4000)
  }
  const STATES = [{ atMs: 600, group: 'k' }, { atMs: 5000, group: undefined }, { atMs: 9500, group: 'g' }]

  it('are in force on every host within the required time, and never revert', async () => {
    await addSecondGroup()
    expect(await play(STATES, 14_000)).toEqual([])
  })

  it('are in force within the required time when long polls hang and the store has dropped its history', async () => {
    await addSecondGroup()
    suite.world.store.silenceFeeds('h1')
    suite.world.store.silenceFeeds('h2')
    setTimeout(() => suite.world.store.forgetHistory(), 4900)
    expect(await play(STATES, 14_000)).toEqual([])
  })

  it('keep an open transaction on the route with which it began', async () => {
    await addSecondGroup()
    const caller = suite.world.connect('h1', MONEY.database)
    await suite.settle(caller.send({ type: 'begin', readOnly: false }), 20)
    const first = await suite.settle(caller.write(), 50)
    suite.world.configure([{ ...MONEY, group: 'k' }])
    await suite.clock.tickAsync(1000)
    const second = await suite.settle(caller.write(), 50)
    expect([first.failure, second.failure]).toEqual([undefined, undefined])
    expect((await suite.settle(caller.send({ type: 'commit', text: 'COMMIT' }), 50)).failure).toEqual(undefined)
    const next = await suite.settle(caller.write(), 200)
    const groupOf = (id: string): string | undefined =>
      suite.world.upstreams.runs.find(({ requestId }) => requestId === id)?.upstream.charAt(0)
    expect([first, second, next].map(({ id }) => groupOf(id))).toEqual(['g', 'g', 'k'])
  })

  it('fail the check for histories that violate a rule', () => {
    const base = { connection: 1, host: 'h1', organisation: '', text: '', values: {}, inTransaction: false }
    const inForce = [{ since: -Infinity, group: 'g' }, { since: 1000, group: 'k' }]
    const request = (sentAt: number, id = 'r1'): RoutedRequest => ({ id, host: 'h1', sentAt, refused: false })
    const run = (upstream: string, requestId = 'r1', at = 0) => ({ ...base, upstream, requestId, at })
    const found = (requests: RoutedRequest[], runs: Array<ReturnType<typeof run>>) =>
      checkRoutes({ requests, inForce, runs, applyMs: APPLY_MS }).length
    expect(found([request(900)], [run('g-a')])).toEqual(0)
    expect(found([request(900)], [run('x-a')])).toEqual(1)
    expect(found([request(1000 + APPLY_MS + 1)], [run('g-a')])).toEqual(1)
    expect(found([{ ...request(1000 + APPLY_MS + 1), refused: true }], [])).toEqual(1)
    expect(found([request(1100, 'r1'), request(1200, 'r2')], [run('k-a', 'r1', 1101), run('g-a', 'r2', 1201)])).toEqual(1)
  })
})
