import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { MAXIMUM_LOCAL_REFUSAL_MS } from '../../../src/entry/limits/local-refusals.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'
import type { FakeOrganisation, FakeRoute } from '../../fixtures/fleet/world.ts'
import { seedRandom } from '../../fixtures/seed-random.ts'

const ROUTES: FakeRoute[] = [
  { database: 'money', group: 'g', freshness: { type: 'primary' }, timeoutMs: 800 },
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 }
]
const RED: FakeOrganisation = { name: 'red', keys: ['red-1', 'red-2'] }
const BLUE: FakeOrganisation = { name: 'blue', keys: ['blue-1'] }
const HOSTS = Array.from({ length: 9 }, (_, index) => `h${index + 1}`)

describe('callers of organisations', () => {
  const suite = setUpWorld(HOSTS, ROUTES)
  const { settle } = suite
  const configure = async (organisations: FakeOrganisation[]): Promise<void> => {
    suite.world.configure(ROUTES, organisations)
    await suite.clock.tickAsync(1000)
  }
  const organisationOf = (id: string): string | undefined =>
    suite.world.upstreams.runs.find(({ requestId }) => requestId === id)?.organisation

  it('run their statements on connections of their own organisation', async () => {
    await configure([RED, BLUE])
    for (let turn = 0; turn < 30; turn++) {
      const host = HOSTS[turn % HOSTS.length]!
      const database = turn % 2 === 0 ? 'money' : 'view'
      const [red, blue] = await settle(Promise.all([
        suite.world.connect(host, database, RED.keys[turn % 2]!).read(),
        suite.world.connect(host, database, 'blue-1').read()
      ]), 100)
      expect([red.failure, blue.failure]).toEqual([undefined, undefined])
      expect([organisationOf(red.id), organisationOf(blue.id)]).toEqual(['red', 'blue'])
    }
  })

  it('run each transaction on a connection of their organisation', async () => {
    await configure([RED, BLUE])
    const red = suite.world.connect('h1', 'money', 'red-1')
    await settle(red.send({ type: 'begin', readOnly: false }), 20)
    const first = await settle(red.write(), 60)
    const blue = await settle(suite.world.connect('h1', 'money', 'blue-1').write(), 60)
    const second = await settle(red.write(), 60)
    expect((await settle(red.send({ type: 'commit', text: 'COMMIT' }), 60)).failure).toEqual(undefined)
    expect([first, blue, second].map(({ id }) => organisationOf(id))).toEqual(['red', 'blue', 'red'])
  })

  it('are refused with an unknown key, and served once an organisation holds it', async () => {
    await configure([RED])
    const caller = suite.world.connect('h2', 'money', 'blue-1')
    expect((await settle(caller.read(), 50)).failure?.kind).toEqual('unknown-key')
    await configure([RED, BLUE])
    const served = await settle(caller.read(), 100)
    expect([served.failure, organisationOf(served.id)]).toEqual([undefined, 'blue'])
  })

  it('are refused after their key is removed, also in an open transaction, which is rolled back', async () => {
    await configure([RED, BLUE])
    const caller = suite.world.connect('h3', 'money', 'red-1')
    await settle(caller.send({ type: 'begin', readOnly: false }), 20)
    await settle(caller.write(), 60)
    await configure([{ ...RED, keys: ['red-2'] }, BLUE])
    const before = suite.world.upstreams.runs.length
    expect((await settle(caller.write(), 60)).failure?.kind).toEqual('aborted')
    expect((await settle(caller.send({ type: 'rollback' }), 60)).failure).toEqual(undefined)
    expect((await settle(caller.read(), 60)).failure?.kind).toEqual('unknown-key')
    expect(suite.world.upstreams.runs.length).toEqual(before)
    expect((await settle(suite.world.connect('h3', 'money', 'red-2').read(), 100)).failure).toEqual(undefined)
  })

  it('run for the new organisation when their key moves to it', async () => {
    await configure([RED, BLUE])
    const caller = suite.world.connect('h4', 'money', 'red-1')
    const first = await settle(caller.read(), 100)
    await configure([{ ...RED, keys: ['red-2'] }, { ...BLUE, keys: ['blue-1', 'red-1'] }])
    const second = await settle(caller.read(), 100)
    expect([first, second].map(({ id }) => organisationOf(id))).toEqual(['red', 'blue'])
  })

  it('get an open transaction rolled back when their key moves to another organisation', async () => {
    await configure([RED, BLUE])
    const caller = suite.world.connect('h5', 'money', 'red-1')
    await settle(caller.send({ type: 'begin', readOnly: false }), 20)
    expect((await settle(caller.write(), 60)).failure).toEqual(undefined)
    await configure([{ ...RED, keys: ['red-2'] }, { ...BLUE, keys: ['blue-1', 'red-1'] }])
    const before = suite.world.upstreams.runs.length
    expect((await settle(caller.write(), 60)).failure?.kind).toEqual('aborted')
    expect(suite.world.upstreams.runs.length).toEqual(before)
    await settle(caller.send({ type: 'rollback' }), 60)
    expect(organisationOf((await settle(caller.read(), 100)).id)).toEqual('blue')
  })

  it('are all served when there are more organisations than connections to an upstream', async () => {
    suite.world.cap = 6
    suite.world.upstreams.all.forEach((upstream) => { upstream.maximumConnections = 6 })
    const many = Array.from({ length: 20 }, (_, index) => ({ name: `o${index}`, keys: [`k${index}`] }))
    await configure(many)
    for (let turn = 0; turn < 60; turn++) {
      const answer = await settle(suite.world.connect(HOSTS[turn % 9]!, 'money', `k${turn % 20}`).write(), 200)
      expect([answer.failure, organisationOf(answer.id)]).toEqual([undefined, `o${turn % 20}`])
    }
  })
})

describe('many organisations that share few connections', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(24) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(HOSTS, ROUTES)

  it('reuse the connections that they have opened', async () => {
    const many = Array.from({ length: 30 }, (_, index) => ({ name: `o${index}`, keys: [`k${index}`] }))
    suite.world.configure(ROUTES, many)
    await suite.clock.tickAsync(1000)
    const before = suite.world.upstreams.opened
    const answers: Array<Promise<{ failure?: unknown }>> = []
    for (let turn = 0; turn < 600; turn++) {
      // Squaring a uniform value skews the load towards a few organisations.
      const key = `k${Math.floor(Math.random() ** 2 * 30)}`
      const database = Math.random() < 0.3 ? 'money' : 'view'
      answers.push(suite.world.connect(HOSTS[turn % HOSTS.length]!, database, key).read())
      await suite.clock.tickAsync(20)
    }
    await suite.clock.tickAsync(1000)
    const failed = (await Promise.all(answers)).filter(({ failure }) => failure !== undefined).length
    const opened = suite.world.upstreams.opened - before
    expect(failed).toEqual(0)
    // More are opened when organisations do not prefer one home per upstream.
    expect(opened <= 300).toEqual(true)
  })
})

describe('the limit of an organisation', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(24) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(HOSTS, ROUTES)
  const limit = { perSecond: 20, burst: 20 }
  const windowMs = 5000
  /** Greatest number of operations in a window: the limit and the tolerance of the settings. */
  const maximumInWindow = (limit.perSecond * windowMs / 1000 + limit.burst) * 1.1 + 20

  const sentAtById = new Map<string, number>()
  /** Sends reads of one organisation through all running hosts; returns their outcomes. */
  const sendReads = async (perSecond: number, forMs: number): Promise<Array<{ kind?: string, message?: string }>> => {
    const outcomes: Array<{ kind?: string, message?: string }> = []
    const pauseMs = 1000 / perSecond
    for (let sent = 0; sent * pauseMs < forMs; sent++) {
      const running = HOSTS.filter((name) => suite.world.hosts.get(name)!.running)
      const caller = suite.world.connect(running[sent % running.length]!, 'view', 'red-1')
      const sentAt = performance.now()
      void caller.read().then(({ id, failure }) => {
        sentAtById.set(id, sentAt)
        outcomes.push({ kind: failure?.kind, message: failure?.message })
      })
      await suite.clock.tickAsync(pauseMs)
    }
    await suite.clock.tickAsync(1000)
    return outcomes
  }
  /** Computes the greatest number of operations that were both sent and run within one window. */
  const countMostRunInWindow = (): number => {
    const runs = suite.world.upstreams.runs.map(({ requestId, at }) =>
      ({ sentAt: sentAtById.get(requestId) ?? at, at }))
    const countFrom = (from: number): number =>
      runs.filter(({ sentAt, at }) => sentAt >= from && at < from + windowMs).length
    return Math.max(0, ...runs.map(({ sentAt }) => countFrom(sentAt)))
  }
  const configure = async (): Promise<void> => {
    suite.world.configure(ROUTES, [{ ...RED, limit }, BLUE])
    await suite.clock.tickAsync(1000)
  }

  it('refuses no operation of callers who stay below it', async () => {
    await configure()
    // Waits until the buckets of the hosts, which have just started, may start full.
    await suite.clock.tickAsync(windowMs)
    const outcomes = await sendReads(12, 8000)
    expect(outcomes.filter(({ kind }) => kind !== undefined)).toEqual([])
  })

  it('holds in every window under five times the load, and is used up', async () => {
    await configure()
    const outcomes = await sendReads(100, 10_000)
    expect(countMostRunInWindow() <= maximumInWindow).toEqual(true)
    const served = outcomes.filter(({ kind }) => kind === undefined).length
    expect(served >= limit.perSecond * 9).toEqual(true)
    const refused = outcomes.filter(({ kind }) => kind === 'busy')
    expect(refused.length + served).toEqual(outcomes.length)
    const pattern = /reached its limit of 20 operations a second and 20 at a time \(version \d+, kept by h\d\); retry/
    expect(refused.every(({ message }) => pattern.test(message!))).toEqual(true)
  })

  it('lets a burst wait for its turns, and does not run the operations of callers that leave meanwhile', async () => {
    await configure()
    await suite.clock.tickAsync(windowMs)
    const sendBurst = () => {
      const callers = Array.from({ length: 16 }, () => suite.world.connect('h1', 'view', 'red-1'))
      return { callers, answers: Promise.all(callers.map(async (caller) => await caller.read())) }
    }
    const served = sendBurst()
    await suite.clock.tickAsync(500)
    expect((await served.answers).filter(({ failure }) => failure !== undefined)).toEqual([])
    await suite.clock.tickAsync(windowMs)
    const { callers, answers } = sendBurst()
    await suite.clock.tickAsync(20)
    callers.forEach((caller) => caller.close())
    await suite.clock.tickAsync(500)
    const refused = (await answers).filter(({ failure }) => failure?.kind === 'busy').map(({ id }) => id)
    const ran = suite.world.upstreams.runs.filter(({ requestId }) => refused.includes(requestId))
    expect([refused.length > 0, ran]).toEqual([true, []])
  })

  it('does not affect other organisations', async () => {
    await configure()
    const overload = sendReads(100, 3000)
    const caller = suite.world.connect('h1', 'view', 'blue-1')
    const answers = []
    for (let turn = 0; turn < 10; turn++) {
      answers.push(await caller.read())
    }
    await overload
    expect(answers.filter(({ failure }) => failure !== undefined)).toEqual([])
  })

  it('holds when its owner becomes silent, and callers below it are served again', async () => {
    await configure()
    await sendReads(100, 3000)
    const owner = /kept by (h\d)/.exec((await sendReads(100, 500)).find(({ kind }) => kind === 'busy')!.message!)![1]!
    suite.world.silent.add(owner)
    await sendReads(100, 4000)
    suite.world.silent.delete(owner)
    await sendReads(100, 4000)
    expect(countMostRunInWindow() <= maximumInWindow).toEqual(true)
    await suite.clock.tickAsync(MAXIMUM_LOCAL_REFUSAL_MS)
    const outcomes = await sendReads(12, 4000)
    expect(outcomes.filter(({ kind }) => kind !== undefined)).toEqual([])
  })

  it('is not granted twice when all hosts restart', async () => {
    await configure()
    await sendReads(100, 6000)
    for (const name of HOSTS) {
      await suite.world.kill(name)
    }
    for (const name of HOSTS) {
      await suite.world.startHost(name)
    }
    await suite.clock.tickAsync(1000)
    await sendReads(100, 6000)
    expect(countMostRunInWindow() <= maximumInWindow).toEqual(true)
  })

  it('holds while hosts restart one by one and announce capacities, which moves its owner', async () => {
    await configure()
    await sendReads(100, 3000)
    for (const [index, name] of HOSTS.entries()) {
      suite.world.capacities.set(name, { cores: index % 3 === 0 ? 1.35 : 0.32 })
      await suite.world.kill(name)
      await suite.world.startHost(name)
      await sendReads(100, 1200)
    }
    const outcomes = await sendReads(100, 6000)
    expect(countMostRunInWindow() <= maximumInWindow).toEqual(true)
    expect(outcomes.filter(({ kind }) => kind === undefined).length >= limit.perSecond * 5).toEqual(true)
  })

  it('holds when a partition separates the hosts', async () => {
    await configure()
    await sendReads(100, 3000)
    HOSTS.slice(0, 4).forEach((name) => suite.world.beyondCut.add(name))
    await sendReads(100, 6000)
    suite.world.beyondCut.clear()
    await sendReads(100, 5000)
    expect(countMostRunInWindow() <= maximumInWindow).toEqual(true)
  })

  it('is exceeded when an unanswered request counts as granted', async () => {
    suite.world.unansweredCountsAsGranted = true
    await configure()
    await sendReads(100, 3000)
    HOSTS.slice(0, 4).forEach((name) => suite.world.beyondCut.add(name))
    await sendReads(100, 6000)
    expect(countMostRunInWindow() > maximumInWindow).toEqual(true)
  })

  for (const seed of [1, 2, 3, 4, 5, 6]) {
    it(`holds in a random schedule of overload, partitions, silent hosts and restarts (seed ${seed})`, async () => {
      restoreRandom()
      restoreRandom = seedRandom(seed)
      const randomHosts = (): string[] => HOSTS.filter(() => Math.random() < 0.35)
      const faults: Array<() => Promise<void>> = [
        async () => { randomHosts().forEach((name) => suite.world.beyondCut.add(name)) },
        async () => { suite.world.beyondCut.clear() },
        async () => { randomHosts().slice(0, 2).forEach((name) => suite.world.silent.add(name)) },
        async () => { suite.world.silent.clear() },
        async () => {
          const [name] = randomHosts()
          if (name !== undefined) {
            await suite.world.kill(name)
            await suite.world.startHost(name)
          }
        },
        configure
      ]
      await configure()
      for (let turn = 0; turn < 8; turn++) {
        await faults[Math.floor(Math.random() * faults.length)]!()
        await sendReads(20 + Math.floor(Math.random() * 120), 500 + Math.random() * 1500)
      }
      expect(countMostRunInWindow() <= maximumInWindow).toEqual(true)
    })
  }
})
