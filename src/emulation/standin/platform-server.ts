/** The platform's stand-ins behind one HTTP port, with rate limits, outage, slowness and lost answers. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { PARTITIONS, type HostRow } from '../../mysql-proxy/storage/types.ts'
import { createObjectStore } from './object-store.ts'
import { createTableService, type TableAnswer } from './table-service.ts'

/** Faults of the platform. */
interface PlatformFaults {
  /** Connections break without an answer, nothing takes effect. */
  outage: boolean
  /** Added to each answer, in milliseconds. */
  slowMs: number
  /** Answers to writes still to be lost after the write took effect. */
  loseWriteAnswers: number
  /** Time until a change of the list of hosts shows, in milliseconds. */
  hostsLagMs: number
}

/** Options of {@link servePlatform}. */
interface PlatformServerOptions {
  address: string
  port: number
  accessKeys: Record<string, string>
  readsPerSecond: number
  writesPerSecond: number
}

/** Counts of calls. */
interface PlatformCounts {
  reads: number
  writes: number
  throttled: number
}

/** The served platform. */
export interface PlatformServer {
  /** URL of both services. */
  endpoint: string
  faults: PlatformFaults
  counts: PlatformCounts
  /** Changes the list of hosts; it shows after the lag. */
  setHost: (row: HostRow) => void
  removeHost: (host: string) => void
  close: () => Promise<void>
}

/** Takes a token for a call, or says that there is none. */
type TakeToken = () => boolean

/**
 * Starts the platform.
 *
 * @param options - address and limits
 * @returns the platform
 */
export async function servePlatform (options: PlatformServerOptions): Promise<PlatformServer> {
  const table = createTableService()
  const objects = createObjectStore()
  const faults: PlatformFaults = { outage: false, slowMs: 0, loseWriteAnswers: 0, hostsLagMs: 0 }
  const counts: PlatformCounts = { reads: 0, writes: 0, throttled: 0 }
  const takeRead = createTokens(options.readsPerSecond)
  const takeWrite = createTokens(options.writesPerSecond)
  const hostChanges = createDelayedChanges(() => faults.hostsLagMs)

  const callTable = (operation: string, body: Buffer): TableAnswer => {
    const writes = table.writes(operation)
    counts[writes ? 'writes' : 'reads']++
    if (!(writes ? takeWrite() : takeRead())) {
      counts.throttled++
      return {
        status: 400,
        body: { __type: 'com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException', message: 'slow down' }
      }
    }
    return table.call(operation, JSON.parse(body.toString()))
  }

  const serveTable = (target: string, body: Buffer, request: IncomingMessage, response: ServerResponse): void => {
    const name = target.split('.')[1] ?? ''
    const answer = callTable(name, body)
    if (table.writes(name) && faults.loseWriteAnswers > 0) {
      faults.loseWriteAnswers--
      request.socket.destroy()
      return
    }
    response.writeHead(answer.status, { 'content-type': 'application/x-amz-json-1.0' })
    response.end(JSON.stringify(answer.body))
  }
  const serveObjects = (body: Buffer, request: IncomingMessage, response: ServerResponse): void => {
    const url = new URL(request.url ?? '/', 'http://standin')
    const answer = objects.call(request.method ?? 'GET', url, body)
    response.writeHead(answer.status, { 'content-type': answer.contentType }).end(answer.body)
  }
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request)
    if (faults.slowMs > 0) {
      await sleep(faults.slowMs)
    }
    if (faults.outage) {
      request.socket.destroy()
      return
    }
    if (!isKnownCaller(request, options.accessKeys)) {
      response.writeHead(403).end()
      return
    }
    const target = request.headers['x-amz-target']
    typeof target === 'string'
      ? serveTable(target, body, request, response)
      : serveObjects(body, request, response)
  }

  const server = createServer((request, response) => {
    // A request that cannot be served breaks its connection, as a faulty service would; the client reports it.
    serve(request, response).catch(() => request.socket.destroy())
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.address, resolve)
  })

  return {
    endpoint: `http://${options.address}:${(server.address() as AddressInfo).port}`,
    faults,
    counts,
    setHost: (row) => hostChanges.make(() => table.put(PARTITIONS.hosts, row.host, JSON.stringify(row))),
    removeHost: (host) => hostChanges.make(() => table.remove(PARTITIONS.hosts, host)),
    close: async () => {
      hostChanges.close()
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      server.closeAllConnections()
      await closed
    }
  }
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) {
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}

/** Changes that show only after a delay. */
interface DelayedChanges {
  make: (change: () => void) => void
  /** Drops the changes that are still to come. */
  close: () => void
}

function createDelayedChanges (delayMs: () => number): DelayedChanges {
  const timers = new Set<NodeJS.Timeout>()
  return {
    make: (change) => {
      if (delayMs() === 0) {
        change()
        return
      }
      const timer = setTimeout(() => {
        timers.delete(timer)
        change()
      }, delayMs())
      timers.add(timer)
    },
    close: () => timers.forEach((timer) => clearTimeout(timer))
  }
}

/** The stand-in checks that the access key is known; it leaves the signature to the real service. */
function isKnownCaller (request: IncomingMessage, accessKeys: Record<string, string>): boolean {
  const match = /Credential=([^/]+)\//.exec(request.headers.authorization ?? '')
  return match !== null && accessKeys[match[1]!] !== undefined
}

function createTokens (perSecond: number): TakeToken {
  let balance = perSecond
  let refilledAt = performance.now()
  return () => {
    const now = performance.now()
    balance = Math.min(perSecond, balance + ((now - refilledAt) / 1000) * perSecond)
    refilledAt = now
    if (balance < 1) {
      return false
    }
    balance--
    return true
  }
}
