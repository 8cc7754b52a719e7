/**
 * Plug-in `operators`: the HTTP endpoint for readiness, liveness, metrics, dumps and the paths that other plug-ins add.
 * The built-in paths are public; paths of other plug-ins require the key of an operator with the right to read.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { MemberSettings } from '../../core/config/index.ts'
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { listenOn } from '../../core/wire/listener.ts'
import { authenticateOperator, type Operator } from './authentication.ts'

/** An authenticated request. */
export interface OperatorRequest {
  operator: Operator
  /** Parsed JSON body; undefined when the request had none. */
  body: unknown
}

/** Handles an operator's request; the returned value is sent as JSON. */
type OperatorHandler = (request: OperatorRequest) => Promise<unknown>

/** Service of the plug-in. */
interface Operators {
  /** Port of the HTTP endpoint. */
  port: number
  /** Registers the handler of a path, which requires the right to read. */
  handle: (path: string, handler: OperatorHandler) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { operators: Operators }
}

interface HttpResponse {
  status: number
  contentType: string
  body: string
}

/** Maximum size of a request body, in bytes. */
const MAXIMUM_BODY_BYTES = 4_000_000
const JSON_CONTENT_TYPE = 'application/json'

registerPlugin({
  name: 'operators',
  dependencies: ['configuration', 'membership', 'metrics'],
  start: async (context) => {
    const settings = context.settings as MemberSettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const { registry } = context.use('metrics')
    const handlers = new Map<string, OperatorHandler>()

    const publicPaths: Record<string, () => Promise<HttpResponse>> = {
      '/live': async () => jsonResponse(200, { live: true }),
      '/ready': async () => {
        const ready = configuration.ready && membership.self.state === 'live'
        return jsonResponse(ready ? 200 : 503, { ready })
      },
      '/metrics': async () => ({ status: 200, contentType: registry.contentType, body: await registry.metrics() }),
      '/dump': async () => jsonResponse(200, { ...context.dump(), process: describeProcess() })
    }

    const handleRequest = async (request: IncomingMessage): Promise<HttpResponse> => {
      const path = (request.url ?? '/').split('?')[0]!
      const handle = handlers.get(path)
      if (handle === undefined) {
        return await publicPaths[path]?.() ?? jsonResponse(404, { error: `no path ${path}` })
      }
      const operator = authenticateOperator(settings.operators, request.headers.authorization)
      operator.demand('read')
      return jsonResponse(200, await handle({ operator, body: await readBody(request) }))
    }

    const server = createServer((request: IncomingMessage, response: ServerResponse) => {
      handleRequest(request).catch(errorResponse).then(({ status, contentType, body }) => {
        response.writeHead(status, { 'content-type': contentType }).end(body)
      }, () => request.socket.destroy())
    })
    await listenOn(server, { address: settings.host.address, port: settings.listen.http })
    return {
      service: {
        port: (server.address() as AddressInfo).port,
        handle: (path, handler) => handlers.set(path, handler)
      },
      close: async () => {
        const closed = new Promise<void>((resolve) => server.close(() => resolve()))
        server.closeAllConnections()
        await closed
      }
    }
  }
})

/** Returns uptime, memory and CPU usage. Runs a garbage collection first if available, so that sizes are comparable. */
function describeProcess (): unknown {
  globalThis.gc?.()
  return { uptimeSeconds: process.uptime(), memory: process.memoryUsage(), processor: process.cpuUsage() }
}

async function readBody (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length
    if (bytes > MAXIMUM_BODY_BYTES) {
      throw new WorkswardError('InvalidCommand', { reason: `the request is longer than ${MAXIMUM_BODY_BYTES} bytes` })
    }
    chunks.push(chunk as Buffer)
  }
  if (bytes === 0) {
    return undefined
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString())
  } catch (thrown) {
    throw new WorkswardError('InvalidCommand', { reason: `the request is not JSON: ${describeThrown(thrown)}` })
  }
}

/** HTTP status by entry of the error catalogue; other errors have status 500. */
const STATUS_BY_ERROR: Record<string, number> = {
  NotAllowed: 403, InvalidCommand: 400, InvalidSettings: 400, ConfigurationConflict: 409, PlatformUnavailable: 503
}

function errorResponse (thrown: unknown): HttpResponse {
  if (thrown instanceof WorkswardError) {
    const { entry, title, message, hint, details } = thrown
    return jsonResponse(STATUS_BY_ERROR[entry] ?? 500, { error: { entry, title, message, hint, details } })
  }
  return jsonResponse(500, { error: { message: describeThrown(thrown) } })
}

function jsonResponse (status: number, body: unknown): HttpResponse {
  return { status, contentType: JSON_CONTENT_TYPE, body: JSON.stringify(body, null, 2) + '\n' }
}
