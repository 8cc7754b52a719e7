/** Plug-in `pools`: connection pool, statement queue and health of each upstream that this host uses. */
import { registerPlugin } from '../../core/kernel/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { connectionLimits, type ConnectionLimits } from './connection-limits.ts'
import { createUpstreamControl, type UpstreamControl } from './upstream-control.ts'
import { createUsedUpstreams, describeUsedUpstreams, type UpstreamResources } from './used-upstreams.ts'

export { applySessionValues, ensurePrepared } from './align-connection.ts'
export { OPEN_TRANSACTION_PRIORITY, type QueueRequest } from './fair-order.ts'
export type { ConnectionLease, SessionValue, SessionValues } from './types.ts'
export type { UpstreamResources } from './used-upstreams.ts'
export { SILENCE_MS } from './upstream-health.ts'
export { IN_PROGRESS_PER_SLOT } from './statement-queue.ts'

/** Service of the plug-in. */
export interface Pools extends UpstreamControl {
  /** Returns the pool, queue and health of an upstream in the directory. */
  of: (upstream: KnownUpstream) => UpstreamResources
  /** Returns the names of those upstreams of a group that a read should avoid; see outlier-detection.ts. */
  outliersOf: (group: string, upstreams: readonly KnownUpstream[]) => ReadonlySet<string>
}

declare module '../../core/kernel/index.ts' {
  interface Services { pools: Pools }
}

registerPlugin({
  name: 'pools',
  dependencies: ['ports', 'directory', 'desiredState', 'homes', 'metrics'],
  start: ({ use, logger }) => {
    const { upstreams: port } = use('ports')
    const desiredState = use('desiredState')
    const homes = use('homes')
    const metrics = use('metrics')
    const countOpened = metrics.registerCounter('worksward_connections_opened', 'Connections to upstreams that were opened')
    const countClosed = metrics.registerCounter(
      'worksward_connections_closed', 'Connections to upstreams that were closed, by reason')
    const startedAt = performance.now()
    const limitsOf = (upstream: KnownUpstream): ConnectionLimits => connectionLimits({
      cap: desiredState.current?.connectionCaps.get(upstream.group),
      homes: homes.of(upstream).length,
      isHome: homes.isHome(upstream),
      uptimeMs: performance.now() - startedAt
    })
    const { of, outliersOf, remove, all } = createUsedUpstreams({
      port,
      logger,
      limitsOf,
      homeCountOf: (upstream) => homes.of(upstream).length,
      metrics: { opened: () => countOpened('all'), closed: countClosed }
    })
    use('directory').onChange(({ upstream, change }) => {
      if (change === 'gone' || change === 'moved' || change === 'reborn') {
        remove(upstream.upstream)
      }
    })
    const control = createUpstreamControl({ port, logger, healthOf: (upstream) => of(upstream).health })
    return {
      service: { of, outliersOf, ...control },
      dump: () => describeUsedUpstreams(all),
      close: () => { [...all.keys()].forEach(remove) }
    }
  }
})
