/** Measures throughput and latency through a proxy against direct connections to the same stand-in. */
import mysql, { type Connection } from 'mysql2/promise'
import { startProcesses, type ProcessDeployment } from '../test/fixtures/process-deployment.ts'
import { ASSOCIATION_SIZES, EMBEDDED_ACCOUNT, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../src/emulation/embedded/sizes.ts'
import { createTimeHistogram, percentileMs, recordTime } from '../src/emulation/load/summary.ts'
import type { Measurement, Row } from './types.ts'

const GROUP = 'member-a'
const CLIENTS = [6, 12]
const PHASE_MS = 1500
const ROUNDS = 3

/** Throughput and median latency of one phase. */
interface Phase {
  perSecond: number
  p50Ms: number
}

/** Compares direct and proxied throughput and latency in interleaved rounds. */
export const throughput: Measurement = {
  title: 'Throughput and added latency',
  description: `${CLIENTS.join(' and ')} clients in a closed loop, direct on the stand-in's upstream and through a proxy, each a process of its own, in turns ` +
    `(${ROUNDS} rounds of ${PHASE_MS} ms, median of the rounds' ratios); sizes of the Association, lag 5 ms.`,
  run: async () => {
    const deployment = await startProcesses({ ...ASSOCIATION_SIZES, groups: [GROUP] })
    try {
      const rows: Row[] = []
      for (const clients of CLIENTS) {
        rows.push(await compare(deployment, 'read', clients), await compare(deployment, 'write', clients))
      }
      return rows
    } finally {
      await deployment.close()
    }
  }
}

async function compare (deployment: ProcessDeployment, access: 'read' | 'write', clients: number): Promise<Row> {
  const direct: Phase[] = []
  const proxied: Phase[] = []
  for (let round = 0; round < ROUNDS; round++) {
    const port = await upstreamPort(deployment, access === 'write' ? 'primary' : 'replica')
    direct.push(await drive(port, EMBEDDED_ACCOUNT, access, clients))
    const service = { user: EMBEDDED_SERVICE, password: EMBEDDED_PASSWORD }
    proxied.push(await drive(Number(deployment.proxies[0]!.started['callers']), service, access, clients))
  }
  return {
    requests: access,
    clients,
    'direct/s': median(direct.map(({ perSecond }) => perSecond)),
    'proxy/s': median(proxied.map(({ perSecond }) => perSecond)),
    ratio: median(proxied.map(({ perSecond }, round) => round2(perSecond / direct[round]!.perSecond))),
    'direct p50 ms': median(direct.map(({ p50Ms }) => p50Ms)),
    'added p50 ms': round2(median(proxied.map(({ p50Ms }, round) => p50Ms - direct[round]!.p50Ms)))
  }
}

async function upstreamPort (deployment: ProcessDeployment, role: 'primary' | 'replica'): Promise<number> {
  return Object.values(await deployment.upstreams(GROUP)).find((upstream) => upstream.role === role)!.port
}

async function drive (
  port: number, login: { user: string, password: string }, access: 'read' | 'write', count: number
): Promise<Phase> {
  const histogram = createTimeHistogram()
  const until = performance.now() + PHASE_MS
  let done = 0
  const clients = await Promise.all(Array.from({ length: count }, async () =>
    await mysql.createConnection({ host: '127.0.0.1', port, ...login, database: GROUP })))
  const statement = access === 'read'
    ? "SELECT 1 /*worksward_kind='grid'*/"
    : "INSERT INTO records (session, request, amount) VALUES ('bench', 'bench', 1) /*worksward_kind='purchase'*/"
  await Promise.all(clients.map(async (client: Connection) => {
    while (performance.now() < until) {
      const startedAt = performance.now()
      await client.query(statement)
      recordTime(histogram, performance.now() - startedAt)
      done++
    }
  }))
  clients.forEach((client) => client.destroy())
  return { perSecond: Math.round(done / PHASE_MS * 1000), p50Ms: percentileMs(histogram, 50) }
}

function median (values: number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}

/** Rounds to two decimal places. */
export function round2 (value: number): number {
  return Math.round(value * 100) / 100
}
