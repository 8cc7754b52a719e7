/**
 * Plug-in `readiness`: serves the health check of load balancers, and on a separate port the metrics and the state
 * dump. The process is ready once it has a desired state, knows an upstream and is warm, until it begins to stop.
 */
import { createServer } from 'node:http'
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { parseEndpoint } from '../../core/wire/dialer.ts'
import { listenOn } from '../../core/wire/listener.ts'
import { createWarmUp } from './warm-up.ts'
import { createWarmUpPlan } from './warm-up-steps.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { readiness: Record<string, never> }
}

const OK = 200
const UNAVAILABLE = 503

registerPlugin({
  name: 'readiness',
  dependencies: [
    'desiredState', 'entry', 'metrics', 'directory', 'registry', 'homes', 'limits', 'freshness', 'leadership', 'pools'
  ],
  start: async (context) => {
    const { listen, host } = context.settings as EntrySettings
    const desiredState = context.use('desiredState')
    const directory = context.use('directory')
    const { registry } = context.use('metrics')
    const homes = context.use('homes')
    const warmUp = createWarmUp(createWarmUpPlan({
      registry: context.use('registry'),
      directory,
      desiredState,
      homes,
      limits: context.use('limits'),
      freshness: context.use('freshness'),
      leadership: context.use('leadership'),
      pools: context.use('pools')
    }), context.logger)
    const knowsUpstreams = (): boolean => desiredState.current !== undefined && directory.all().length > 0
    const startWhenKnown = (): void => {
      if (knowsUpstreams()) {
        warmUp.start()
      }
    }
    desiredState.onChange(startWhenKnown)
    directory.onChange(startWhenKnown)
    const isReady = (): boolean => knowsUpstreams() && warmUp.isDone && !context.stopping.aborted
    homes.setReadiness(isReady)
    const readinessServer = createServer((_request, response) => {
      response.writeHead(isReady() ? OK : UNAVAILABLE).end()
    })
    const inspectionServer = createServer((request, response) => {
      const inspect = async (): Promise<void> => {
        const [type, text] = request.url === '/dump'
          ? ['application/json', JSON.stringify(context.dump(), null, 2)]
          : [registry.contentType, await registry.metrics()]
        response.writeHead(OK, { 'Content-Type': type }).end(text)
      }
      // One gauge or part that throws fails the whole response; a temporary failure is gone at the next request.
      inspect().catch(() => response.writeHead(UNAVAILABLE).end())
    })
    await Promise.all([
      listenOn(readinessServer, parseEndpoint(listen.readiness)),
      listenOn(inspectionServer, { address: host.address, port: listen.metrics })
    ])
    return {
      service: {},
      close: () => {
        warmUp.close()
        for (const server of [readinessServer, inspectionServer]) {
          server.close()
          server.closeAllConnections()
        }
      }
    }
  }
})
