/** Serves the platform's stand-ins on one HTTP port, with rate limits and injected faults. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { PARTITIONS, type HostRow } from '../../mysql-proxy/storage/types.ts'
import { createObjectStore } from './object-store.ts'
import { createTableService, type TableAnswer } from './table-service.ts'

/** Injected faults of the platform. */
interface PlatformFaults {
  /** Requests are dropped without an answer or effect. */
  outage: boolean
  /** Latency added to each answer, in milliseconds. */
  slowMs: number
  /** Number of further writes that take effect but whose answer is lost. */
  loseWriteAnswers: number
  /** Delay before a change to the list of hosts becomes visible, in milliseconds. */
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

/** Calls of the table service since the start. */
interface PlatformCounts {
  reads: number
  writes: number
  throttled: number
}

/** The running platform server. */
export interface PlatformServer {
  /** URL of the table service and the object store. */
  endpoint: string
  faults: PlatformFaults
  counts: PlatformCounts
  /** Adds or replaces a host in the list of hosts, after `hostsLagMs`. */
  setHost: (row: HostRow) => void
  removeHost: (host: string) => void
  close: () => Promise<void>
}

/** Takes a rate limit token; returns false when none is left. */
type TakeToken = () => boolean

/**
 * Starts the platform server.
 *
 * @param options - address, access keys and rate limits
 * @returns the running server
 */
export async function servePlatform (options: PlatformServerOptions): Promise<PlatformServer> {
  const table = createTableService()
  const objects = createObjectStore()
  const faults: PlatformFaults = { outage: false, slowMs: 0, loseWriteAnswers: 0, hostsLagMs: 0 }
  const counts: PlatformCounts = { reads: 0, writes: 0, throttled: 0 }
  const takeRead = createTokenBucket(options.readsPerSecond)
  const takeWrite = createTokenBucket(options.writesPerSecond)
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
    // A request that fails closes its connection, so that the client sees a network error.
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

/** Applies changes after a delay. */
interface DelayedChanges {
  make: (change: () => void) => void
  /** Discards pending changes. */
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

/** Checks only that the access key is known; the signature is not verified. */
function isKnownCaller (request: IncomingMessage, accessKeys: Record<string, string>): boolean {
  const match = /Credential=([^/]+)\//.exec(request.headers.authorization ?? '')
  return match !== null && accessKeys[match[1]!] !== undefined
}

function createTokenBucket (perSecond: number): TakeToken {
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
