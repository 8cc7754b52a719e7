import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { StoreTransaction } from '../../src/entry/ports/index.ts'
import { MONEY, setUpWorld } from '../fixtures/fleet/set-up.ts'
import type { FakeOrganisation, FakeRoute, World } from '../fixtures/fleet/world.ts'
import { seedRandom } from '../fixtures/seed-random.ts'
import { expectGolden, readGolden } from './golden.ts'
import { fieldsOf, shapeOf } from './shapes.ts'

const HOSTS = Array.from({ length: 9 }, (_, index) => `h${index + 1}`)
const ROUTES: FakeRoute[] = [
  MONEY,
  { database: 'view', group: 'g', freshness: { type: 'bounded', maximumAgeMs: 1500 }, timeoutMs: 800 },
  { database: 'own', group: 'g', freshness: { type: 'session', maximumAgeMs: 2500 }, timeoutMs: 800 }
]
const ORGANISATIONS: FakeOrganisation[] = [{ name: 'red', keys: ['red-1'], limit: { perSecond: 20, burst: 5 } }]
/** Time until unresponsive hosts are removed from the registry, in milliseconds. */
const FORGOTTEN_MS = 30_000

/** Time until the row of a retired host is removed, in milliseconds. */
const REMOVED_MS = 17_000

/** Time after which every request has been answered, in milliseconds. */
const LATE_MS = 10_000

/** Messages between hosts and rows written to the store. */
interface Seen {
  /** Shapes of requests and responses, by type. */
  shapes: Map<string, Set<string>>
  fields: Set<string>
  rows: Set<string>
}

function add (shapes: Map<string, Set<string>>, name: string, shape: string): void {
  shapes.set(name, (shapes.get(name) ?? new Set()).add(shape))
}

/** Records all messages between hosts and all rows of the registry. */
function watch (world: World): Seen {
  const seen: Seen = { shapes: new Map(), fields: new Set(), rows: new Set() }
  const note = (name: string, value: unknown): void => {
    add(seen.shapes, name, shapeOf(value))
    fieldsOf(value, name).forEach((field) => seen.fields.add(field))
  }
  for (const host of world.hosts.values()) {
    for (const [type, handle] of host.handlers) {
      host.handlers.set(type, async (body, link) => {
        note(`${type} question`, body)
        const answer = await handle(body, link)
        note(`${type} answer`, answer)
        return answer
      })
    }
  }
  const apply = world.store.apply.bind(world.store)
  world.store.apply = (transaction: StoreTransaction) => {
    if (transaction.table === 'worksward') {
      transaction.put.forEach(({ key, value }) => seen.rows.add(maskRow(`put ${key} ${value}`)))
      transaction.remove?.forEach((key) => seen.rows.add(maskRow(`remove ${key}`)))
    }
    return apply(transaction)
  }
  return seen
}

/** Replaces values that vary between runs: host names, ports, UUIDs and times. */
function maskRow (text: string): string {
  return text
    .replace(/\bh[1-9]\b/g, 'HOST')
    .replace(/"port":[0-9]+/g, '"port":PORT')
    .replace(/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, 'UUID')
    .replace(/"(expiresMs|retiredUntilMs|orderedUntilMs)":-?[0-9.]+/g, '"$1":TIME')
    .replace(/"orders":\{"(g-[a-c])":-?[0-9.]+\}/g, '"orders":{"$1":TIME}')
}

/** Whether a row records an order to promote. */
function recordsOrder (row: string): boolean {
  return row.includes('"orders":') || row.includes('"orderedUntilMs":')
}

describe('entry processes under faults', () => {
  let restoreRandom = (): void => {}
  beforeEach(() => { restoreRandom = seedRandom(24) })
  afterEach(() => restoreRandom())
  const suite = setUpWorld(HOSTS, ROUTES)
  /** Advances the clock, and further if the operation is still pending. */
  const settle = async (pending: Promise<unknown>, ms: number): Promise<void> => {
    let isDone = false
    void pending.finally(() => { isDone = true })
    await suite.clock.tickAsync(ms)
    await suite.clock.tickAsync(isDone ? 0 : LATE_MS)
    await pending
  }

  const useAll = async (key: string): Promise<void> => {
    for (const host of HOSTS.filter((name) => suite.world.hosts.get(name)!.running)) {
      const caller = suite.world.connect(host, 'money', key)
      await settle(caller.send({ type: 'set', name: 'zone', value: 'x' }), 20)
      await settle(caller.send({ type: 'begin', readOnly: false }), 20)
      await settle(caller.write(), 60)
      await settle(caller.read(), 60)
      await settle(caller.send({ type: 'commit', text: 'COMMIT' }), 60)
      await settle(caller.send({ type: 'prepare', name: 'p', prepared: { access: 'read', shape: 'READ ?' } }), 20)
      await settle(caller.send({ type: 'execute', name: 'p', parameters: 'x' }), 60)
      for (const database of ['money', 'view', 'own']) {
        const other = suite.world.connect(host, database, key)
        await settle(Promise.all([other.write(), other.read()]), 150)
        await settle(other.send({ type: 'begin', readOnly: true }), 20)
        await settle(other.read(), 60)
        await settle(other.send({ type: 'rollback' }), 60)
      }
    }
  }
  const play = async (): Promise<Seen> => {
    const { world, clock } = suite
    const seen = watch(world)
    await useAll('red-1')
    world.configure(ROUTES, ORGANISATIONS)
    await clock.tickAsync(1000)
    await useAll('red-1')
    world.upstreams.all.get('g-a')!.cutOff.add('h3')
    await settle(world.connect('h3', 'view', 'red-1').read(), 900)
    world.silent.add('h6')
    world.upstreams.all.get('g-a')!.crash()
    await clock.tickAsync(5000)
    world.silent.clear()
    await useAll('red-1')
    world.store.cutOff.add('h1')
    await clock.tickAsync(6000)
    world.store.down = true
    await clock.tickAsync(6000)
    world.store.down = false
    world.store.cutOff.clear()
    world.silent.add('h4')
    await clock.tickAsync(6000)
    world.upstreams.all.get('g-b')!.crash()
    world.upstreams.all.get('g-c')!.draining = true
    await clock.tickAsync(FORGOTTEN_MS)
    world.silent.clear()
    await clock.tickAsync(6000)
    const leaving = world.hosts.get('h5')!
    // An open transaction makes the stop last until another host has retired the row.
    await settle(world.connect('h5', 'money', 'red-1').send({ type: 'begin', readOnly: false }), 60)
    const stopping = leaving.kernel.stop()
    leaving.running = false
    await settle(stopping, 9000)
    await clock.tickAsync(REMOVED_MS)
    return seen
  }

  it('keep the shapes of their messages and the rows they write', async () => {
    const { shapes, fields, rows } = await play()
    const sorted = Object.fromEntries([...shapes].sort().map(([name, some]) => [name, [...some].sort()]))
    expectGolden('exchange-fields', [...fields].sort())
    expectGolden('exchange-rows', [...rows].filter((row) => !recordsOrder(row)).sort())
    expectGolden('exchange-order-rows', [...rows].filter(recordsOrder).sort())
    const known = readGolden('exchange-shapes', sorted) as Record<string, string[]>
    const unknown = Object.entries(sorted).flatMap(([name, some]) =>
      some.filter((shape) => known[name]?.includes(shape) !== true).map((shape) => `${name} ${shape}`))
    expect(unknown).toEqual([])
  })
})
