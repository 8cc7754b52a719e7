/** Plug-in `pools`: this host's connections to every upstream, and what it has seen of each. */
import { registerPlugin } from '../../core/kernel/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UpstreamReport } from '../ports/index.ts'
import { TIMED_OUT, within } from '../../core/time/deadline.ts'
import { connectionLimits, type ConnectionLimits } from './connection-limits.ts'
import { createUpstreamHealth, type UpstreamHealth } from './upstream-health.ts'
import { createStatementQueue, type StatementQueue } from './statement-queue.ts'
import { createUpstreamPool, type UpstreamPool } from './upstream-pool.ts'

export { alignValues, prepareOn } from './align-connection.ts'
export type { ConnectionLease } from './types.ts'

/** An upstream as this host uses it. */
export interface UsedUpstream {
  pool: UpstreamPool
  /** Lets statements go there a few at a time. */
  queue: StatementQueue
  health: UpstreamHealth
}

/** Service of the plug-in. */
export interface Pools {
  /** Returns the pool and the health of an upstream that is in the directory. */
  of: (upstream: KnownUpstream) => UsedUpstream
  /**
   * Asks an upstream for its state on a connection of its own.
   *
   * @param upstream - the upstream
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns its report; undefined when it gave none in time
   */
  probe: (upstream: KnownUpstream, timeoutMs: number) => Promise<UpstreamReport | undefined>
  /** Makes a primary a replica; undefined when it gave no answer in time. */
  demote: (upstream: KnownUpstream, term: number, timeoutMs: number) => Promise<UpstreamReport | undefined>
}

declare module '../../core/kernel/index.ts' {
  interface Services { pools: Pools }
}

registerPlugin({
  name: 'pools',
  needs: ['ports', 'directory', 'desiredState', 'homes'],
  start: (context) => {
    const { upstreams: port } = context.use('ports')
    const directory = context.use('directory')
    const desiredState = context.use('desiredState')
    const homes = context.use('homes')
    const used = new Map<string, UsedUpstream>()
    /** Questions to upstreams in progress: those who ask at the same time share the answer. */
    const probing = new Map<string, Promise<UpstreamReport | undefined>>()

    const startedAt = performance.now()
    const limitsOf = (upstream: KnownUpstream): ConnectionLimits => connectionLimits({
      cap: desiredState.current?.connectionCaps.get(upstream.group),
      homes: homes.of(upstream).length,
      isHome: homes.isHome(upstream),
      uptimeMs: performance.now() - startedAt
    })
    const create = (known: KnownUpstream): UsedUpstream => {
      const { upstream, group, endpoint } = known
      const health = createUpstreamHealth()
      const pool = createUpstreamPool({
        target: { group, upstream, endpoint },
        port,
        limits: () => limitsOf(known),
        events: {
          onAnswer: () => {
            if (health.unreachableSince !== undefined) {
              context.logger.log('info', 'upstream.regained', { group, upstream })
            }
            health.answered()
          },
          onFault: (fault, reason) => {
            if (health.unreachableSince === undefined && fault !== 'broken') {
              context.logger.log('warn', 'upstream.unreachable', { group, upstream, fault, reason })
            }
            health.failed(fault)
          }
        }
      })
      const gate = createStatementQueue({
        group, upstream, limits: () => ({ slots: known.slots, homes: homes.of(known).length })
      })
      return { pool, queue: gate, health }
    }
    const of = (upstream: KnownUpstream): UsedUpstream => {
      const known = used.get(upstream.upstream) ?? create(upstream)
      used.set(upstream.upstream, known)
      return known
    }
    const forget = (name: string): void => {
      used.get(name)?.pool.close()
      used.delete(name)
    }
    directory.onChange(({ upstream, change }) => {
      // What was seen of an upstream holds no more when it has started again: connections, health, how far its log is.
      if (change === 'gone' || change === 'moved' || change === 'reborn') {
        forget(upstream.upstream)
      }
    })
    const ask = async (
      known: KnownUpstream, timeoutMs: number,
      question: (connection: Awaited<ReturnType<typeof port.open>>) => Promise<UpstreamReport>
    ): Promise<UpstreamReport | undefined> => {
      const { health } = of(known)
      const target = { group: known.group, upstream: known.upstream, endpoint: known.endpoint }
      try {
        const connection = await port.open(target, { organisation: '', timeoutMs })
        try {
          const report = await within(question(connection), timeoutMs)
          if (report === TIMED_OUT) {
            health.failed('silent')
            return undefined
          }
          health.answered()
          return report
        } finally {
          connection.close()
        }
      } catch (thrown) {
        context.logger.log('info', 'upstream.no-report', {
          upstream: known.upstream, group: known.group, reason: (thrown as Error).message
        })
        health.failed('refused')
        return undefined
      }
    }

    return {
      service: {
        of,
        probe: async (upstream, timeoutMs) => {
          const name = upstream.upstream
          const asking = probing.get(name) ?? ask(upstream, timeoutMs, async (link) => await link.status())
          probing.set(name, asking)
          return await asking.finally(() => probing.delete(name))
        },
        demote: async (upstream, term, timeoutMs) =>
          await ask(upstream, timeoutMs, async (link) => await link.demote(term))
      },
      dump: () => Object.fromEntries([...used].map(([name, { pool, queue: gate, health }]) => [name, {
        group: pool.target.group,
        open: pool.size,
        inUse: pool.inUse,
        waiting: pool.waiting,
        running: gate.running,
        queued: gate.waiting,
        latencyMs: Math.round(health.latencyMs),
        avoided: health.avoided,
        lagging: health.lagging
      }])),
      close: () => { [...used.keys()].forEach(forget) }
    }
  }
})
