/** Plug-in `entry`: takes callers and serves their sessions. */
import type { EntrySettings } from '../../core/config/entry-settings.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { parseEndpoint } from '../../core/wire/dialer.ts'
import { createRetryBudget } from '../../retries/retry-budget.ts'
import { STOP_IDLE_MS, STOP_POLL_MS, STOP_QUIET_MS, STOP_RESERVE_MS, UNKNOWN_IDLE_MS } from './consts.ts'
import { serveAsHome } from './home-server.ts'
import { createPositionProver } from './prove-position.ts'
import { createSession, type Session } from './session.ts'
import { createStatementCosts } from './statement-costs.ts'
import type { EntryContext } from './types.ts'

declare module '../../core/kernel/index.ts' {
  interface Services { entry: Record<string, never> }
}

registerPlugin({
  name: 'entry',
  needs: [
    'ports', 'desiredState', 'directory', 'pools', 'homes', 'leadership', 'freshness', 'metrics', 'registry', 'peers',
    'limits'
  ],
  start: async (context) => {
    const settings = context.settings as EntrySettings
    const { callers } = context.use('ports')
    const desiredState = context.use('desiredState')
    const metrics = context.use('metrics')
    const { logger } = context
    const sessions = new Set<Session>()
    const entryContext: EntryContext = {
      pools: context.use('pools'),
      homes: context.use('homes'),
      directory: context.use('directory'),
      leadership: context.use('leadership'),
      limits: context.use('limits'),
      freshness: context.use('freshness'),
      logger,
      budget: createRetryBudget(),
      costs: createStatementCosts(),
      measures: {
        request: metrics.time('worksward_entry_request_milliseconds', 'Time of requests, by type and outcome'),
        queue: metrics.time('worksward_entry_queue_milliseconds', 'Time that requests waited for a connection'),
        upstream: metrics.time('worksward_entry_upstream_milliseconds', 'Time of statements at upstreams, by outcome'),
        retry: metrics.count('worksward_entry_retries', 'Statements that were sent again, by reason')
      },
      failureDomain: settings.host.failureDomain,
      get drainMs () { return settings.drainMs }
    }
    metrics.expose('worksward_sessions', 'Sessions that are open', () => ({ open: sessions.size }))
    entryContext.freshness.useProver(createPositionProver(entryContext).prove)
    const passedOn = serveAsHome({
      context: entryContext,
      peers: context.use('peers'),
      registry: context.use('registry'),
      desiredState,
      logger,
      idleMs: () => desiredState.current?.transactionIdleMs ?? UNKNOWN_IDLE_MS,
      isLeaving: () => context.stopping.aborted
    })
    metrics.expose('worksward_passed_transactions', 'Transactions that are open here for other hosts',
      () => ({ open: passedOn.transactions }))
    const listener = await callers.listen(parseEndpoint(settings.listen.callers), (link) => {
      const session = createSession({
        context: entryContext,
        link,
        desiredState: () => desiredState.current,
        stateKnown: desiredState.known,
        onDone: metrics.recordRequest,
        onClose: () => sessions.delete(session)
      })
      sessions.add(session)
      return session
    })

    /** Ends what can be ended without harm: idle sessions, and from half of the time on resting transactions too. */
    const endSome = (elapsedMs: number, graceMs: number): void => {
      for (const session of sessions) {
        if (session.inTransaction && elapsedMs > graceMs / 2) {
          session.abortTransaction('this host is stopping')
        }
        if (session.idleMs > STOP_QUIET_MS && elapsedMs > STOP_IDLE_MS) {
          session.end()
        }
      }
    }
    return {
      service: {},
      dump: () => ({
        sessions: sessions.size,
        busy: [...sessions].filter(({ busy }) => busy).length,
        passedTransactions: passedOn.transactions
      }),
      drain: async () => {
        const graceMs = settings.graceSeconds * 1000
        const startedAt = performance.now()
        const elapsed = (): number => performance.now() - startedAt
        const emptyUntil = async (leastMs: number): Promise<void> => {
          while (elapsed() < graceMs - STOP_RESERVE_MS && (sessions.size > 0 || elapsed() < leastMs)) {
            endSome(elapsed(), graceMs)
            await pause(STOP_POLL_MS)
          }
        }
        await emptyUntil(STOP_IDLE_MS)
        // Callers that connected at the last moment are served before the process ends.
        listener.stopAccepting()
        await emptyUntil(elapsed() + STOP_QUIET_MS)
        await passedOn.drain(Math.max(0, graceMs / 2 - elapsed()))
        logger.log('info', 'callers.drained', { left: sessions.size })
      },
      close: async () => { await listener.close() }
    }
  }
})
