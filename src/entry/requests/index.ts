/** Plug-in `entry`: serves callers' sessions and the statements that other hosts forward to this one. */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { RequestError } from '../../core/errors/index.ts'
import { registerPlugin, type PluginContext } from '../../core/kernel/index.ts'
import { parseEndpoint } from '../../core/wire/dialer.ts'
import type { Metrics } from '../../metrics/index.ts'
import { createRetryBudget } from '../../retries/retry-budget.ts'
import type { CallerLink } from '../ports/index.ts'
import { failureOf } from './answers.ts'
import { placesAtReturn } from './return-order.ts'
import { createReturnQueue, type ReturnQueue } from './return-queue.ts'
import { serveForwarded } from './serve-forwarded.ts'
import { recordFirstServed } from './first-served.ts'
import { createPositionProver } from './prove-position.ts'
import { createCallerRequests, type CallerRequests } from './caller-requests.ts'
import { createSession } from './session.ts'
import { createStatementCosts } from './statement-costs.ts'
import { countByStage, logCutRequests } from './cut-requests.ts'
import { stopSessions } from './stop-sessions.ts'
import { stopTimesOf } from './stop-times.ts'
import type { EntryContext, EntryMetrics } from './types.ts'

/** Maximum idle time of a transaction while no desired state is known, in milliseconds. */
const DEFAULT_IDLE_MS = 3000

declare module '../../core/kernel/index.ts' {
  interface Services { entry: Record<string, never> }
}

function createEntryMetrics (metrics: Pick<Metrics, 'registerTiming' | 'registerCounter'>): EntryMetrics {
  return {
    request: metrics.registerTiming('worksward_entry_request_milliseconds', 'Time of requests, by type and outcome'),
    queue: metrics.registerTiming('worksward_entry_queue_milliseconds', 'Time that requests waited for a connection'),
    upstream: metrics.registerTiming('worksward_entry_upstream_milliseconds', 'Time of statements at upstreams, by outcome'),
    retry: metrics.registerCounter('worksward_entry_retries', 'Statements that were sent again, by reason')
  }
}

function createEntryContext (context: PluginContext): EntryContext {
  const settings = context.settings as EntrySettings
  return {
    pools: context.use('pools'),
    homes: context.use('homes'),
    directory: context.use('directory'),
    leadership: context.use('leadership'),
    limits: context.use('limits'),
    freshness: context.use('freshness'),
    logger: context.logger,
    retryBudget: createRetryBudget(),
    costs: createStatementCosts(),
    memory: context.use('memory'),
    metrics: createEntryMetrics(context.use('metrics')),
    host: settings.host.name,
    failureDomain: settings.host.failureDomain,
    get drainMs () { return settings.drainMs }
  }
}

/** Creates the order of requests at the return, which begins with the first desired state. */
function createEntryReturnQueue ({ use }: PluginContext): ReturnQueue {
  const directory = use('directory')
  const registry = use('registry')
  const queue = createReturnQueue(() => {
    const slots = directory.all().reduce((sum, upstream) => sum + upstream.slots, 0)
    return placesAtReturn(slots, registry.current.liveHosts.length)
  })
  use('desiredState').onChange(queue.begin)
  return queue
}

/** Returns the time until the connections are closed, in milliseconds; 0 without a planned stop. */
function flushTime (flushBy: number): number {
  return Number.isFinite(flushBy) ? Math.max(0, flushBy - performance.now()) : 0
}

/** Tells a caller before its first request that this host is stopping, and ends its connection. */
function refuseSession (link: CallerLink, connection: CallerRequests, host: string): void {
  link.refuseStart(failureOf(new RequestError('not-run', 'Stopping', { host }), true))
  connection.endNow()
}

registerPlugin({
  name: 'entry',
  dependencies: [
    'ports', 'desiredState', 'directory', 'pools', 'homes', 'leadership', 'freshness', 'metrics', 'registry', 'peers',
    'limits', 'memory'
  ],
  start: async (context) => {
    const settings = context.settings as EntrySettings
    const { callers } = context.use('ports')
    const desiredState = context.use('desiredState')
    const metrics = context.use('metrics')
    const { logger } = context
    const connections = new Set<CallerRequests>()
    const onDone = recordFirstServed(metrics)
    const returnQueue = createEntryReturnQueue(context)
    let areCallersEnded = false
    let refused = 0
    let flushBy = Infinity
    const entryContext = createEntryContext(context)
    metrics.registerGauge('worksward_sessions', 'Sessions that are open', () => ({ open: connections.size }))
    entryContext.freshness.setProver(createPositionProver(entryContext).prove)
    const forwarded = serveForwarded({
      context: entryContext,
      peers: context.use('peers'),
      registry: context.use('registry'),
      desiredState,
      idleMs: () => desiredState.current?.transactionIdleMs ?? DEFAULT_IDLE_MS,
      isLeaving: () => context.stopping.aborted
    })
    metrics.registerGauge('worksward_passed_transactions', 'Transactions that are open here for other hosts',
      () => ({ open: forwarded.openTransactions }))
    const listener = await callers.listen(parseEndpoint(settings.listen.callers), (link) => {
      const session = createSession({
        context: entryContext,
        link,
        desiredState: () => desiredState.current,
        desiredStateAgeMs: () => desiredState.ageMs,
        waitForDesiredState: desiredState.waitForFirst,
        returnQueue,
        onDone,
        onStopped: () => { refused++ }
      })
      const connection = createCallerRequests({
        session, link, remainingMs: () => flushBy - performance.now(), onClose: () => connections.delete(connection)
      })
      connections.add(connection)
      if (areCallersEnded) {
        refused++
        refuseSession(link, connection, entryContext.host)
      }
      return connection
    })
    return {
      service: {},
      dump: () => ({
        sessions: connections.size,
        busy: [...connections].filter(({ unanswered }) => unanswered > 0).length,
        passedTransactions: forwarded.openTransactions
      }),
      drain: async (stopRequestedAt) => {
        const transactions = [...connections].filter(({ inTransaction }) => inTransaction).length
        const times = stopTimesOf(settings.graceSeconds * 1000)
        const { endingMs, answersMs, flushMs } = times
        logger.log('info', 'callers.stopping', {
          sessions: connections.size, transactions, ...countByStage(listener.unanswered()), endingMs, answersMs, flushMs
        })
        flushBy = stopRequestedAt + times.flushMs
        const endCallers = async (): Promise<void> => {
          await stopSessions({ connections, times, startedAt: stopRequestedAt, stopAccepting: listener.stopAccepting })
          areCallersEnded = true
        }
        await Promise.all([endCallers(), forwarded.drain(times, stopRequestedAt)])
        logger.log('info', 'callers.drained', { left: connections.size, refused, forwarded: forwarded.inProgress })
      },
      close: async () => {
        returnQueue.close()
        logCutRequests(logger, await listener.close(flushTime(flushBy)))
      }
    }
  }
})
