/** Memory and processor time of callers that are connected and idle. */
import mysql, { type Connection } from 'mysql2/promise'
import { pause } from '../src/core/time/deadline.ts'
import { startDeployment } from '../src/embedded/deployment.ts'
import { ASSOCIATION_SIZES, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../src/embedded/sizes.ts'
import { round2 } from './throughput.ts'
import type { Measurement, Row } from './types.ts'

const SIZES = [0, 500, 1000, 2000]
const BATCH = 50
const OBSERVE_MS = 1500

/** Measures this process, which holds both ends of each connection. */
export const idleConnections: Measurement = {
  title: 'Idle callers',
  description: 'Heap and processor time of one process that holds the deployment, callers in the same process; each ' +
    'caller costs both ends, so the figure is an upper bound.',
  run: async () => {
    const deployment = await startDeployment({ sizes: { ...ASSOCIATION_SIZES, groups: ['member-a'] } })
    const connections: Connection[] = []
    const rows: Row[] = []
    try {
      for (const size of SIZES) {
        while (connections.length < size) {
          connections.push(...await Promise.all(Array.from({ length: BATCH }, async () => await mysql.createConnection({
            host: '127.0.0.1',
            port: deployment.proxies[0]!.callerPort,
            user: EMBEDDED_SERVICE,
            password: EMBEDDED_PASSWORD,
            database: 'member-a'
          }))))
        }
        globalThis.gc?.()
        await pause(200)
        const before = process.cpuUsage()
        await pause(OBSERVE_MS)
        const { user, system } = process.cpuUsage(before)
        const memory = process.memoryUsage()
        rows.push({
          callers: size,
          'resident MB': round2(memory.rss / 1e6),
          'heap MB': round2((memory.heapUsed + memory.external) / 1e6),
          'processor ms/s': round2((user + system) / OBSERVE_MS)
        })
      }
      return rows
    } finally {
      connections.forEach((connection) => connection.destroy())
      await deployment.close()
    }
  }
}
