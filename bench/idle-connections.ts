/** Measures the memory and CPU time that idle client connections cost one proxy process. */
import mysql, { type Connection } from 'mysql2/promise'
import { pause } from '../src/core/time/deadline.ts'
import { ASSOCIATION_SIZES, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../src/emulation/embedded/sizes.ts'
import { startProcesses, type DeployedProcess, type ProcessDeployment } from '../test/fixtures/process-deployment.ts'
import { processorMs } from './process-cost.ts'
import { round2 } from './throughput.ts'
import type { Measurement, Row } from './types.ts'

const GROUP = 'member-a'
/** Connection counts to measure. */
const SIZES = [400, 800, 1200, 1600, 2000]
const CONNECT_BATCH_SIZE = 25
const OBSERVE_MS = 4000
const SETTLE_MS = 500
const KB = 1024
const MS_PER_SECOND = 1000

/** Resource usage of a proxy process with a given number of idle callers. */
interface IdleCost {
  callers: number
  memoryKb: number
  /** CPU time, in milliseconds per second. */
  processorMs: number
}

/** Measures one proxy process; the callers run in a separate process. */
export const idleConnections: Measurement = {
  title: 'Idle callers',
  description: 'Memory in use after collecting garbage (without the kernel\'s socket buffers) and processor time of one ' +
    'proxy process; the callers are in another process.',
  run: async () => {
    const costs = await measureIdleCallers()
    const [first] = costs
    return costs.map(({ callers, memoryKb, processorMs }): Row => ({
      callers,
      'memory MB': round2(memoryKb / KB),
      'KB for each more': callers === first!.callers
        ? ''
        : round2((memoryKb - first!.memoryKb) / (callers - first!.callers)),
      'processor ms/s': round2(processorMs)
    }))
  }
}

async function measureIdleCallers (): Promise<IdleCost[]> {
  const deployment = await startProcesses({ ...ASSOCIATION_SIZES, groups: [GROUP] })
  const [proxy] = deployment.proxies
  const connections: Connection[] = []
  const costs: IdleCost[] = []
  try {
    for (const callers of SIZES) {
      await connectUpTo(proxy!, connections, callers)
      await pause(SETTLE_MS)
      const before = processorMs(proxy!)
      await pause(OBSERVE_MS)
      const spentMs = processorMs(proxy!) - before
      costs.push({
        callers,
        memoryKb: await readHeapKb(deployment, proxy!),
        processorMs: spentMs / OBSERVE_MS * MS_PER_SECOND
      })
    }
  } finally {
    connections.forEach((connection) => connection.destroy())
    await deployment.close()
  }
  return costs
}

/** Returns heap and external memory after a garbage collection, without the kernel's socket buffers. */
async function readHeapKb (deployment: ProcessDeployment, proxy: DeployedProcess): Promise<number> {
  const { process } = await deployment.dump(proxy) as unknown as {
    process: { memory: { heapUsed: number, external: number } }
  }
  return (process.memory.heapUsed + process.memory.external) / KB
}

async function connectUpTo (proxy: DeployedProcess, connections: Connection[], size: number): Promise<void> {
  while (connections.length < size) {
    const missing = Math.min(CONNECT_BATCH_SIZE, size - connections.length)
    connections.push(...await Promise.all(Array.from({ length: missing }, async () => await mysql.createConnection({
      host: '127.0.0.1',
      port: Number(proxy.started['callers']),
      user: EMBEDDED_SERVICE,
      password: EMBEDDED_PASSWORD,
      database: GROUP
    }))))
  }
}
