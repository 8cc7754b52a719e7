/**
 * Plug-in `readiness`: answers the balancer, and shows metrics and the state dump on a port of their own.
 *
 * When is the process ready? Once it knows a desired state and an upstream, until it has to stop.
 */
import { createServer, type Server } from 'node:http'
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { parseEndpoint, type Endpoint } from '../../core/wire/dialer.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { readiness: Record<string, never> }
}

const OK = 200
const UNAVAILABLE = 503

registerPlugin({
  name: 'readiness',
  dependencies: ['desiredState', 'entry', 'metrics', 'directory'],
  start: async (context) => {
    const { listen, host } = context.settings as EntrySettings
    const desiredState = context.use('desiredState')
    const directory = context.use('directory')
    const { registry } = context.use('metrics')
    const isReady = (): boolean =>
      desiredState.current !== undefined && directory.all().length > 0 && !context.stopping.aborted
    const readiness = createServer((_request, response) => {
      response.writeHead(isReady() ? OK : UNAVAILABLE).end()
    })
    const inspection = createServer((request, response) => {
      if (request.url === '/dump') {
        response.writeHead(OK, { 'Content-Type': 'application/json' }).end(JSON.stringify(context.dump(), null, 2))
        return
      }
      registry.metrics().then(
        (text) => response.writeHead(OK, { 'Content-Type': registry.contentType }).end(text),
        // A gauge that cannot be read fails the whole page; the next scrape shows whether it lasts.
        () => response.writeHead(UNAVAILABLE).end())
    })
    await Promise.all([
      listenOn(readiness, parseEndpoint(listen.readiness)),
      listenOn(inspection, { address: host.address, port: listen.metrics })
    ])
    return {
      service: {},
      close: () => {
        for (const server of [readiness, inspection]) {
          server.close()
          server.closeAllConnections()
        }
      }
    }
  }
})

async function listenOn (server: Server, { address, port }: Endpoint): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, resolve)
  })
}
