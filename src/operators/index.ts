/** Plug-in `operators`: readiness, liveness and a dump of the process's state over HTTP. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { MemberSettings } from '../core/config/index.ts'
import { registerPlugin } from '../core/kernel/index.ts'

/** Service of the plug-in. */
export interface Operators {
  /** Port of the HTTP endpoint. */
  port: number
}

declare module '../core/kernel/index.ts' {
  interface Services { operators: Operators }
}

/** An answer of the endpoint. */
interface HttpAnswer {
  status: number
  body: unknown
}

registerPlugin({
  name: 'operators',
  needs: ['configuration', 'membership'],
  start: async (context) => {
    const settings = context.settings as MemberSettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')

    const paths: Record<string, () => HttpAnswer> = {
      '/live': () => ({ status: 200, body: { live: true } }),
      '/ready': () => {
        const ready = configuration.ready && membership.self.state === 'live'
        return { status: ready ? 200 : 503, body: { ready } }
      },
      '/dump': () => ({ status: 200, body: context.dump() })
    }

    const server = createServer((request: IncomingMessage, response: ServerResponse) => {
      const path = (request.url ?? '/').split('?')[0]!
      const answer = paths[path]?.() ?? { status: 404, body: { error: `no path ${path}` } }
      response.writeHead(answer.status, { 'content-type': 'application/json' })
      response.end(JSON.stringify(answer.body, null, 2) + '\n')
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(settings.listen.http, settings.host.address, resolve)
    })
    return {
      service: { port: (server.address() as AddressInfo).port },
      close: async () => {
        const closed = new Promise<void>((resolve) => server.close(() => resolve()))
        server.closeAllConnections()
        await closed
      }
    }
  }
})
