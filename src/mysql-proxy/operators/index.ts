/**
 * Plug-in `operators`: an HTTP endpoint for readiness, liveness, metrics, dumps and the paths that other plug-ins add.
 * The paths it owns are public; the others need an operator's key with the right to read.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { MemberSettings } from '../../core/config/index.ts'
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { authenticateOperator, type Operator } from './authentication.ts'

/** A request of an operator. */
export interface OperatorRequest {
  operator: Operator
  /** Parsed JSON body; undefined when there was none. */
  body: unknown
}

/** Answers an operator's request with a value that is sent as JSON. */
type OperatorHandler = (request: OperatorRequest) => Promise<unknown>

/** Service of the plug-in. */
interface Operators {
  /** Port of the HTTP endpoint. */
  port: number
  /** Registers the handler of a path; the operator must have the right to read. */
  handle: (path: string, handler: OperatorHandler) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { operators: Operators }
}

/** An answer of the endpoint. */
interface HttpAnswer {
  status: number
  contentType: string
  body: string
}

/** Greatest body of a request, in bytes. */
const MAXIMUM_BODY_BYTES = 4_000_000
const JSON_TYPE = 'application/json'

registerPlugin({
  name: 'operators',
  dependencies: ['configuration', 'membership', 'metrics'],
  start: async (context) => {
    const settings = context.settings as MemberSettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const { registry } = context.use('metrics')
    const handlers = new Map<string, OperatorHandler>()

    const publicPaths: Record<string, () => Promise<HttpAnswer>> = {
      '/live': async () => toJson(200, { live: true }),
      '/ready': async () => {
        const ready = configuration.ready && membership.self.state === 'live'
        return toJson(ready ? 200 : 503, { ready })
      },
      '/metrics': async () => ({ status: 200, contentType: registry.contentType, body: await registry.metrics() }),
      '/dump': async () => toJson(200, { ...context.dump(), process: describeProcess() })
    }

    const answer = async (request: IncomingMessage): Promise<HttpAnswer> => {
      const path = (request.url ?? '/').split('?')[0]!
      const handle = handlers.get(path)
      if (handle === undefined) {
        return await publicPaths[path]?.() ?? toJson(404, { error: `no path ${path}` })
      }
      const operator = authenticateOperator(settings.operators, request.headers.authorization)
      operator.demand('read')
      return toJson(200, await handle({ operator, body: await readBody(request) }))
    }

    const server = createServer((request: IncomingMessage, response: ServerResponse) => {
      answer(request).catch(describeFailure).then(({ status, contentType, body }) => {
        response.writeHead(status, { 'content-type': contentType }).end(body)
      }, () => request.socket.destroy())
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(settings.listen.http, settings.host.address, resolve)
    })
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

/** Memory and processor time. Garbage is collected first where the process exposes that, so that sizes compare. */
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

/** HTTP status by entry of the error catalogue; 500 for all others. */
const STATUS_BY_ERROR: Record<string, number> = {
  NotAllowed: 403, InvalidCommand: 400, InvalidSettings: 400, ConfigurationConflict: 409, PlatformUnavailable: 503
}

function describeFailure (thrown: unknown): HttpAnswer {
  if (thrown instanceof WorkswardError) {
    const { entry, title, message, hint, details } = thrown
    return toJson(STATUS_BY_ERROR[entry] ?? 500, { error: { entry, title, message, hint, details } })
  }
  return toJson(500, { error: { message: describeThrown(thrown) } })
}

function toJson (status: number, body: unknown): HttpAnswer {
  return { status, contentType: JSON_TYPE, body: JSON.stringify(body, null, 2) + '\n' }
}
