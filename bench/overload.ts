/** Measures goodput at the saturating load and at multiples of it. */
import { pause } from '../src/core/time/deadline.ts'
import { ASSOCIATION_SIZES, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../src/emulation/embedded/sizes.ts'
import { createCaller, type Caller } from '../src/emulation/load/caller.ts'
import { createTimeHistogram, percentileMs, recordTime } from '../src/emulation/load/summary.ts'
import { startProcesses, type ProcessDeployment } from '../test/fixtures/process-deployment.ts'
import type { Measurement, Row } from './types.ts'
import { round2 } from './throughput.ts'

const PHASE_MS = 3000
const SATURATING_CALLERS = 64
const OPEN_CALLERS = 400
/** Service time of a read, slow enough that the upstreams rather than the CPU are the bottleneck. */
const READ_MS = 10
const WRITE_EVERY = 20
const GRACE_MS = 1000
const DEADLINE_MS = 500
const GROUP = 'member-a'
const CONNECT_BATCH_SIZE = 20

/** Compares peak goodput in a closed loop with goodput under an open loop that offers multiples of it. */
export const overload: Measurement = {
  title: 'Overload',
  description: `Reads of ${READ_MS} ms service time and one purchase in ${WRITE_EVERY} requests; the peak is a closed ` +
    `loop of ${SATURATING_CALLERS} callers, the overload an open loop at the given multiple of it. Goodput counts what ` +
    `was served within its deadline of ${DEADLINE_MS} ms; each process on its own.`,
  run: async () => {
    const sizes = { ...ASSOCIATION_SIZES, groups: [GROUP], readMs: READ_MS }
    const deployment = await startProcesses(sizes, ({ groups }) => {
      const kinds = Object.values(groups[GROUP]!.services[EMBEDDED_SERVICE]!.kinds)
      kinds.forEach((kind) => { kind.deadlineMs = DEADLINE_MS })
    })
    try {
      const peak = await closedLoop(deployment)
      const rows = [describe('peak, closed loop', peak, peak.goodput)]
      for (const multiple of [1, 2, 3]) {
        rows.push(describe(`${multiple} x peak, open loop`, await openLoop(deployment, peak.goodput * multiple), peak.goodput))
      }
      return rows
    } finally {
      await deployment.close()
    }
  }
}

/** Rates per second, write counts and latency of one phase. */
interface Phase {
  offered: number
  goodput: number
  notRun: number
  unclear: number
  writesDone: number
  writesOffered: number
  p99Ms: number
}

function describe (load: string, phase: Phase, peak: number): Row {
  return {
    load,
    'offered/s': phase.offered,
    'goodput/s': phase.goodput,
    'of peak': round2(phase.goodput / peak),
    'refused not run/s': phase.notRun,
    'unclear/s': phase.unclear,
    'writes served %': Math.round(100 * phase.writesDone / Math.max(1, phase.writesOffered)),
    'served p99 ms': phase.p99Ms
  }
}

function createPhase () {
  const histogram = createTimeHistogram()
  const counts = { offered: 0, done: 0, notRun: 0, unclear: 0, writesDone: 0, writesOffered: 0 }
  const send = async (caller: Caller): Promise<void> => {
    const isWrite = counts.offered++ % WRITE_EVERY === 0
    counts.writesOffered += isWrite ? 1 : 0
    const startedAt = performance.now()
    try {
      await caller.query(isWrite
        ? "INSERT INTO records (session, request, amount) VALUES ('o', 'o', 1) /*worksward_kind='purchase'*/"
        : "SELECT 1 /*worksward_kind='grid'*/")
      recordTime(histogram, performance.now() - startedAt)
      counts.done++
      counts.writesDone += isWrite ? 1 : 0
    } catch (thrown) {
      counts[String(thrown).includes('verdict: not-run') ? 'notRun' : 'unclear']++
    }
  }
  const finish = (): Phase => {
    const perSecond = (count: number): number => Math.round(count / PHASE_MS * 1000)
    return {
      offered: perSecond(counts.offered),
      goodput: perSecond(counts.done),
      notRun: perSecond(counts.notRun),
      unclear: perSecond(counts.unclear),
      writesDone: counts.writesDone,
      writesOffered: counts.writesOffered,
      p99Ms: percentileMs(histogram, 99)
    }
  }
  return { send, finish }
}

async function connectCallers (deployment: ProcessDeployment, count: number): Promise<Caller[]> {
  const target = {
    proxies: deployment.proxies.map(({ started }) => ({ address: '127.0.0.1', port: Number(started['callers']) })),
    user: EMBEDDED_SERVICE,
    password: EMBEDDED_PASSWORD,
    database: GROUP
  }
  const callers = Array.from({ length: count }, (_value, index) => createCaller(target, index % target.proxies.length))
  for (let index = 0; index < count; index += CONNECT_BATCH_SIZE) {
    const batch = callers.slice(index, index + CONNECT_BATCH_SIZE)
    await Promise.all(batch.map(async (caller) => await caller.query('SELECT @@worksward_session')))
  }
  return callers
}

async function closedLoop (deployment: ProcessDeployment): Promise<Phase> {
  const callers = await connectCallers(deployment, SATURATING_CALLERS)
  const phase = createPhase()
  const until = performance.now() + PHASE_MS
  await Promise.all(callers.map(async (caller) => {
    while (performance.now() < until) {
      await phase.send(caller)
    }
  }))
  callers.forEach((caller) => caller.close())
  return phase.finish()
}

async function openLoop (deployment: ProcessDeployment, perSecond: number): Promise<Phase> {
  const idle = await connectCallers(deployment, OPEN_CALLERS)
  const all = [...idle]
  const phase = createPhase()
  const startedAt = performance.now()
  let sent = 0
  while (performance.now() - startedAt < PHASE_MS) {
    const due = Math.floor((performance.now() - startedAt) / 1000 * perSecond)
    for (; sent < due; sent++) {
      const caller = idle.pop()
      if (caller !== undefined) {
        void phase.send(caller).then(() => idle.push(caller))
      }
    }
    await pause(1)
  }
  const result = phase.finish()
  await pause(GRACE_MS)
  all.forEach((caller) => caller.close())
  return result
}
