/** HTTP server that injects faults into the stand-ins, for load tools and tests in other processes. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import { hostRowSchema } from '../../mysql-proxy/storage/types.ts'
import type { Standins } from './index.ts'
import type { UpstreamServer } from './upstream-server.ts'

const upstreamFault = z.strictObject({ group: z.string(), upstream: z.string() })

/** Body of `POST /faults`. */
const faultSchema = z.discriminatedUnion('type', [
  upstreamFault.extend({ type: z.literal('crash') }),
  upstreamFault.extend({ type: z.literal('restart') }),
  upstreamFault.extend({ type: z.literal('pause') }),
  upstreamFault.extend({ type: z.literal('resume') }),
  upstreamFault.extend({ type: z.literal('lag'), lagMs: z.number().nonnegative() }),
  upstreamFault.extend({ type: z.literal('leaving'), leaving: z.boolean() }),
  upstreamFault.extend({ type: z.literal('lose-answers'), operation: z.string(), count: z.number().int() }),
  z.strictObject({ type: z.literal('cut-replication'), left: z.string(), right: z.string() }),
  z.strictObject({ type: z.literal('mend-replication') }),
  z.strictObject({
    type: z.literal('platform'),
    outage: z.boolean().optional(),
    slowMs: z.number().nonnegative().optional(),
    loseWriteAnswers: z.number().int().optional(),
    hostsLagMs: z.number().nonnegative().optional()
  }),
  z.strictObject({ type: z.literal('host'), row: hostRowSchema }),
  z.strictObject({ type: z.literal('remove-host'), host: z.string() })
])

/** A fault to inject. */
export type Fault = z.infer<typeof faultSchema>

type FaultHandlers = { [Type in Fault['type']]: (fault: Extract<Fault, { type: Type }>) => Promise<void> | void }

/**
 * Injects a fault.
 *
 * @param standins - the stand-ins
 * @param fault - the fault
 */
async function applyFault (standins: Standins, fault: Fault): Promise<void> {
  const find = ({ group, upstream }: { group: string, upstream: string }): UpstreamServer => {
    const server = standins.groups.get(group)?.get(upstream)
    if (server === undefined) {
      throw new Error(`no upstream ${upstream} in group ${group}`)
    }
    return server
  }
  const handlers: FaultHandlers = {
    crash: async (wanted) => await find(wanted).crash(),
    restart: async (wanted) => await find(wanted).restart(),
    pause: (wanted) => { find(wanted).upstream.paused = true },
    resume: (wanted) => {
      const { upstream } = find(wanted)
      upstream.paused = false
      upstream.resume()
    },
    lag: (wanted) => { find(wanted).upstream.lagMs = wanted.lagMs },
    leaving: (wanted) => { find(wanted).upstream.leaving = wanted.leaving },
    'lose-answers': (wanted) => { find(wanted).faults.loseAnswers.set(wanted.operation, wanted.count) },
    'cut-replication': ({ left, right }) => standins.cutReplication(left, right),
    'mend-replication': () => standins.mendReplication(),
    platform: ({ type: _type, ...changes }) => { Object.assign(standins.platform.faults, changes) },
    host: ({ row }) => standins.platform.setHost(row),
    'remove-host': ({ host }) => standins.platform.removeHost(host)
  }
  await (handlers[fault.type] as (fault: Fault) => Promise<void> | void)(fault)
}

/** Returns the state of all stand-ins, as `GET /dump` shows it. */
export function dumpStandins (standins: Standins): unknown {
  return {
    platform: { faults: standins.platform.faults, counts: standins.platform.counts },
    groups: Object.fromEntries([...standins.groups].map(([group, servers]) => [group,
      Object.fromEntries([...servers].map(([name, server]) => [name, {
        port: server.port,
        connections: server.connections(),
        refused: server.refused(),
        ...server.upstream.status()
      }]))]))
  }
}

/**
 * Starts the HTTP server: `POST /faults` takes a fault as JSON, `GET /dump` returns the state.
 *
 * @param standins - the stand-ins
 * @param address - IP address to listen on
 * @param port - port to listen on; 0 for an ephemeral port
 * @returns the port, and a function that stops the server
 */
export async function serveControl (
  standins: Standins, address: string, port: number
): Promise<{ port: number, close: () => Promise<void> }> {
  const server = createServer((request, response) => {
    const answer = (status: number, body: unknown): void => {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body) + '\n')
    }
    const serve = async (): Promise<void> => {
      if (request.method === 'GET' && request.url === '/dump') {
        answer(200, dumpStandins(standins))
        return
      }
      const chunks: Buffer[] = []
      for await (const chunk of request) {
        chunks.push(chunk as Buffer)
      }
      await applyFault(standins, faultSchema.parse(JSON.parse(Buffer.concat(chunks).toString())))
      answer(200, { done: true })
    }
    serve().catch((thrown: unknown) => answer(400, { error: describeThrown(thrown) }))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, resolve)
  })
  return {
    port: (server.address() as AddressInfo).port,
    close: async () => {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      server.closeAllConnections()
      await closed
    }
  }
}
