/** Plug-in `pools`: this host's connections to every upstream, and what it has seen of each. */
import { registerPlugin } from '../../core/kernel/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { connectionLimits, type ConnectionLimits } from './connection-limits.ts'
import { createUpstreamQuestions, type UpstreamQuestions } from './upstream-questions.ts'
import { createUsedUpstreams, describeUsedUpstreams, type UsedUpstream } from './used-upstreams.ts'

export { alignValues, prepareOn } from './align-connection.ts'
export type { ConnectionLease } from './types.ts'
export type { UsedUpstream } from './used-upstreams.ts'
export { SILENCE_MS } from './upstream-health.ts'

/** Service of the plug-in. */
export interface Pools extends UpstreamQuestions {
  /** Returns the pool and the health of an upstream that is in the directory. */
  of: (upstream: KnownUpstream) => UsedUpstream
}

declare module '../../core/kernel/index.ts' {
  interface Services { pools: Pools }
}

registerPlugin({
  name: 'pools',
  dependencies: ['ports', 'directory', 'desiredState', 'homes'],
  start: ({ use, logger }) => {
    const { upstreams: port } = use('ports')
    const desiredState = use('desiredState')
    const homes = use('homes')
    const startedAt = performance.now()
    const limitsOf = (upstream: KnownUpstream): ConnectionLimits => connectionLimits({
      cap: desiredState.current?.connectionCaps.get(upstream.group),
      homes: homes.of(upstream).length,
      isHome: homes.isHome(upstream),
      uptimeMs: performance.now() - startedAt
    })
    const { of, forget, all } = createUsedUpstreams({
      port, logger, limitsOf, homesOf: (upstream) => homes.of(upstream).length
    })
    use('directory').onChange(({ upstream, change }) => {
      if (change === 'gone' || change === 'moved' || change === 'reborn') {
        forget(upstream.upstream)
      }
    })
    const questions = createUpstreamQuestions({ port, logger, healthOf: (upstream) => of(upstream).health })
    return {
      service: { of, ...questions },
      dump: () => describeUsedUpstreams(all),
      close: () => { [...all.keys()].forEach(forget) }
    }
  }
})
