/** What one entry host spends on all the others: at the start, while nothing happens, and on a change of primary. */
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { useFakeFleet, World, type FakeRoute } from '../test/fixtures/fleet/world.ts'
import type { Measurement, Row } from './types.ts'

/** Sizes of the fleet: 24 is a small one, each next about twice as large. */
const FLEETS = [24, 48, 96, 192]
/** Groups whose upstreams all hosts share, three each. */
const GROUPS = 14
/** Connections that an upstream takes. */
const CAP = 88
const START_MS = 12_000
const STEADY_MS = 10_000
const CHANGE_MS = 10_000
/** The runtime's own clock, which the paused one replaces while a fleet plays. */
const processorMs = (): number => process.cpuUsage().user / 1000

/** Counts of what a fleet has sent. */
interface Spent {
  messages: number
  calls: number
  processorMs: number
}

/** Measures fleets of several sizes. */
export const hostCost: Measurement = {
  title: 'What a host spends on the others',
  description: `Entry processes in one test process on a paused clock, ${GROUPS} groups of three upstreams; messages ` +
    'between hosts and processor time are those of one host, calls to the store those of all. "start": the first ' +
    `${START_MS / 1000} s; "rest": ${STEADY_MS / 1000} s in which nothing happens; "change": ${CHANGE_MS / 1000} s ` +
    'around the crash of one primary. Processor time includes that of the stand-ins.',
  run: async () => {
    const rows: Row[] = []
    for (const hosts of FLEETS) {
      rows.push(...await measureFleet(hosts))
    }
    return rows
  }
}

async function measureFleet (hosts: number): Promise<Row[]> {
  useFakeFleet()
  const clock = fakeTimers.install()
  const world = new World()
  world.cap = CAP
  const routes = Array.from({ length: GROUPS }, (_, index): FakeRoute =>
    ({ database: `d${index}`, group: `g${index}`, freshness: { type: 'primary' }, timeoutMs: 800 }))
  routes.forEach(({ group }) => world.addGroup(group))
  world.configure(routes)
  const rows: Row[] = []
  const measure = async (phase: string, work: () => Promise<unknown>, ms: number): Promise<void> => {
    const before = spentBy(world)
    await Promise.all([work(), advance(clock, ms)])
    rows.push(describe(hosts, phase, before, spentBy(world)))
  }
  const startAll = async (): Promise<unknown> => await Promise.all(
    Array.from({ length: hosts }, async (_, index) => await world.startHost(`h${index}`)))
  try {
    await measure('start', startAll, START_MS)
    await measure('rest', async () => {}, STEADY_MS)
    await measure('change', async () => world.upstreams.all.get('g0-a')!.crash(), CHANGE_MS)
  } finally {
    const closing = world.close()
    await clock.tickAsync(2000)
    await closing
    clock.uninstall()
  }
  return rows
}

/** Lets time pass in small steps, so that what is started meanwhile takes its turns. */
async function advance (clock: Clock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 100) {
    await clock.tickAsync(100)
  }
}

function spentBy (world: World): Spent {
  return { messages: world.messages, calls: world.store.calls, processorMs: processorMs() }
}

function describe (hosts: number, phase: string, before: Spent, after: Spent): Row {
  const round = (value: number): number => Math.round(value * 10) / 10
  return {
    hosts,
    phase,
    'messages of a host': round((after.messages - before.messages) / hosts),
    'processor ms of a host': round((after.processorMs - before.processorMs) / hosts),
    'calls of all to the store': after.calls - before.calls
  }
}
