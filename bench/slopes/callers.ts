/** Cost of callers in a proxy process: idle ones, and the statements of busy ones, served here or passed on. */
import mysql, { type Connection } from 'mysql2/promise'
import { pause } from '../../src/core/time/deadline.ts'
import { ASSOCIATION_SIZES, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../../src/embedded/sizes.ts'
import { startProcesses, type DeployedProcess, type ProcessDeployment } from '../../test/fixtures/process-deployment.ts'
import { processorMs } from './process-cost.ts'
import type { Point } from './types.ts'

const GROUP = 'member-a'
const IDLE_SIZES = [400, 800, 1200, 1600, 2000]
const RATES = [100, 200, 400, 600]
const CONNECT_AT_A_TIME = 25
const IDLE_OBSERVE_MS = 4000
const BUSY_OBSERVE_MS = 4000
const BUSY_CLIENTS = 20
const SETTLE_MS = 500

/** Points of the idle callers. */
export interface IdlePoints {
  memory: Point[]
  processor: Point[]
}

/** Measures idle callers in one proxy process. */
export async function measureIdleCallers (): Promise<IdlePoints> {
  const deployment = await startProcesses({ ...ASSOCIATION_SIZES, groups: [GROUP] })
  const [proxy] = deployment.proxies
  const connections: Connection[] = []
  const memory: Point[] = []
  const processor: Point[] = []
  try {
    for (const size of IDLE_SIZES) {
      await connectUpTo(proxy!, connections, size)
      await pause(SETTLE_MS)
      const before = processorMs(proxy!)
      await pause(IDLE_OBSERVE_MS)
      processor.push({ size, cost: (processorMs(proxy!) - before) / IDLE_OBSERVE_MS * 1000 })
      memory.push({ size, cost: await heapKb(deployment, proxy!) })
    }
  } finally {
    connections.forEach((connection) => connection.destroy())
    await deployment.close()
  }
  return { memory, processor }
}

/** Memory in use after garbage has been collected; the kernel's buffers of the sockets are not in it. */
async function heapKb (deployment: ProcessDeployment, proxy: DeployedProcess): Promise<number> {
  const { process } = await deployment.dump(proxy) as unknown as {
    process: { memory: { heapUsed: number, external: number } }
  }
  return (process.memory.heapUsed + process.memory.external) / 1024
}

/** Points of busy callers. */
export interface BusyPoints {
  /** Processor time of the caller's proxy, which is the home too. */
  local: Point[]
  /** Processor time of the caller's proxy, which passes the statements on. */
  entry: Point[]
  /** Processor time of the home they are passed on to. */
  home: Point[]
}

/** Measures statements served by the caller's own proxy, and passed on to a home. */
export async function measureStatements (): Promise<BusyPoints> {
  const sizes = { ...ASSOCIATION_SIZES, groups: [GROUP], readMs: 0, writeMs: 0 }
  const deployment = await startProcesses(sizes, ({ groups }) => { groups[GROUP]!.limits.homes = 1 })
  try {
    const home = await findHome(deployment)
    const entry = deployment.proxies.find((proxy) => proxy !== home)!
    const points: BusyPoints = { local: [], entry: [], home: [] }
    for (const rate of RATES) {
      const [local] = await drive(home, rate, [home])
      points.local.push(local!)
      const [atEntry, atHome] = await drive(entry, rate, [entry, home])
      points.entry.push(atEntry!)
      points.home.push(atHome!)
    }
    return points
  } finally {
    await deployment.close()
  }
}

async function findHome (deployment: ProcessDeployment): Promise<DeployedProcess> {
  await drive(deployment.proxies[0]!, 50, [], 500)
  for (const proxy of deployment.proxies) {
    const { routing } = await deployment.dump(proxy) as unknown as { routing: { homes: object } }
    if (GROUP in routing.homes) {
      return proxy
    }
  }
  throw new Error('no proxy is home')
}

/** Sends reads at a rate and returns what they cost each observed process, by true rate, in milliseconds a second. */
async function drive (
  proxy: DeployedProcess, rate: number, observed: DeployedProcess[], durationMs = BUSY_OBSERVE_MS
): Promise<Point[]> {
  const connections: Connection[] = []
  await connectUpTo(proxy, connections, BUSY_CLIENTS)
  await Promise.all(connections.map(async (connection) => await connection.query(READ)))
  const before = observed.map(processorMs)
  const startedAt = performance.now()
  let sent = 0
  let done = 0
  await Promise.all(connections.map(async (connection) => {
    while (performance.now() - startedAt < durationMs) {
      if (sent < (performance.now() - startedAt) / 1000 * rate) {
        sent++
        await connection.query(READ)
        done++
      } else {
        await pause(1)
      }
    }
  }))
  const elapsedMs = performance.now() - startedAt
  connections.forEach((connection) => connection.destroy())
  return observed.map((process, index) => ({
    size: Math.round(done / elapsedMs * 1000), cost: (processorMs(process) - before[index]!) / elapsedMs * 1000
  }))
}

const READ = "SELECT 1 /*worksward_kind='grid'*/"

async function connectUpTo (proxy: DeployedProcess, connections: Connection[], size: number): Promise<void> {
  while (connections.length < size) {
    const missing = Math.min(CONNECT_AT_A_TIME, size - connections.length)
    connections.push(...await Promise.all(Array.from({ length: missing }, async () => await mysql.createConnection({
      host: '127.0.0.1',
      port: Number(proxy.started['callers']),
      user: EMBEDDED_SERVICE,
      password: EMBEDDED_PASSWORD,
      database: GROUP
    }))))
  }
}
