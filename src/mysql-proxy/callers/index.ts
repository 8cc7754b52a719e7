/**
 * Plug-in `callers`: accepts callers over the MySQL protocol. On shutdown, callers are disconnected once they are idle
 * and outside a transaction; the others are disconnected after `stopMs`, with errors for their unanswered commands.
 */
import type { ProxySettings } from '../../core/config/index.ts'
import { describeThrown, RequestError, WorkswardError, type Verdict } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { ownValue } from '../../core/own-value.ts'
import { pause } from '../../core/time/deadline.ts'
import { MYSQL_ERROR } from '../../mysql/consts.ts'
import type { AuthenticatedClient, Refusal } from '../../mysql/client-handler.ts'
import { listenMysql } from '../../mysql/server.ts'
import type { Answer } from '../../mysql/types.ts'
import type { Metrics } from '../../metrics/index.ts'
import { createSessionTokens } from '../sessions/session-token.ts'
import { createCallerSession, type CallerSession, type CallerState } from './caller-session.ts'

/** Service of the plug-in. */
export interface Callers {
  /** Port on which the proxy accepts callers. */
  port: number
  /** Returns the state of all connected callers. */
  connections: () => CallerState[]
}

declare module '../../core/kernel/index.ts' {
  interface Services { callers: Callers }
}

/** Maximum length of a command, in bytes, independent of the limits of groups. */
const MAXIMUM_COMMAND_BYTES = 16_000_000
/** Interval at which draining checks for idle callers, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 10
/** Time for the last answers to be written, in milliseconds. */
const ANSWER_FLUSH_MS = 500

/** A connected caller. */
interface ConnectedCaller {
  session: CallerSession
  client: AuthenticatedClient
}

registerPlugin({
  name: 'callers',
  dependencies: ['configuration', 'routing', 'membership', 'metrics'],
  start: async (context) => {
    const settings = context.settings as ProxySettings
    const configuration = context.use('configuration')
    const requests = context.use('routing')
    const membership = context.use('membership')
    const metrics = context.use('metrics')
    metrics.registerGauge('worksward_callers', 'Callers that are connected', () => ({ connected: callers.size }))
    metrics.registerGauge('worksward_home_requests', 'Requests served as a home, by kind', () => ({ ...requests.counts() }))
    const tokens = createSessionTokens(settings.peers.key)
    const callers = new Set<ConnectedCaller>()
    let stopping = false
    let closesAt = Infinity

    const stoppingError = (verdict: Verdict): RequestError =>
      new RequestError(verdict, 'Stopping', { host: settings.host.name })
    const server = await listenMysql({
      address: settings.host.address,
      port: settings.listen.callers,
      statementBytes: MAXIMUM_COMMAND_BYTES,
      findPasswordHash: (user, database) => {
        const hash = ownValue(configuration.group(database)?.services ?? {}, user)?.passwordHash
        return hash === undefined ? undefined : Buffer.from(hash, 'hex')
      },
      admit: async () => stopping || !configuration.ready
        ? { code: 1053, message: `proxy ${settings.host.name} takes no callers now` }
        : undefined,
      serve: (client) => {
        const session = createCallerSession({
          host: settings.host.name, client, tokens, requests, findGroup: configuration.group
        })
        const caller = { session, client }
        callers.add(caller)
        return {
          ...session,
          execute: async (statement) => await withMetrics(metrics, async () => await session.execute(statement)),
          close: () => {
            callers.delete(caller)
            session.close()
          }
        }
      },
      toRefusal,
      stopping: { remainingMs: () => closesAt - performance.now(), errorOf: stoppingError }
    })

    return {
      service: { port: server.port, connections: () => [...callers].map(({ session }) => session.state()) },
      dump: () => ({ port: server.port, stopping, connections: callers.size }),
      drain: async () => {
        stopping = true
        server.stopAccepting()
        await membership.leave()
        closesAt = performance.now() + settings.stopMs + ANSWER_FLUSH_MS
        await drainCallers(callers, settings.stopMs)
        callers.forEach(({ client }) => client.endNow(stoppingError))
        await drainCallers(callers, ANSWER_FLUSH_MS)
        context.logger.log('info', 'callers.drained', { left: callers.size })
      },
      close: async () => {
        callers.forEach(({ client }) => client.destroy())
        await server.close()
      }
    }
  }
})

/** Disconnects callers as they become idle, until none is left or the timeout has passed. */
async function drainCallers (callers: Set<ConnectedCaller>, timeoutMs: number): Promise<void> {
  const endsAt = performance.now() + timeoutMs
  while (callers.size > 0 && performance.now() < endsAt) {
    callers.forEach(disconnectIfIdle)
    await pause(DRAIN_POLL_INTERVAL_MS)
  }
}

/** Disconnects a caller that executes no statement and has no open transaction. */
function disconnectIfIdle ({ session, client }: ConnectedCaller): void {
  const { busy, inTransaction } = session.state()
  if (!busy && !inTransaction) {
    client.end()
  }
}

/** Runs a request and records its duration and outcome. */
async function withMetrics (metrics: Metrics, run: () => Promise<Answer>): Promise<Answer> {
  const startedAt = performance.now()
  let outcome = 'done'
  try {
    return await run()
  } catch (thrown) {
    outcome = thrown instanceof WorkswardError ? thrown.entry : 'Unknown'
    throw thrown
  } finally {
    metrics.recordRequest(outcome, performance.now() - startedAt)
  }
}

/** Converts an error for the caller. The verdict tells the caller whether it may retry the request. */
function toRefusal (thrown: unknown): Refusal {
  if (thrown instanceof RequestError) {
    const verdict = thrown.entry === 'StatementFailed' ? '' : ` [verdict: ${thrown.verdict}]`
    return { code: thrown.mysqlCode, message: `${thrown.message}${verdict}` }
  }
  if (thrown instanceof WorkswardError) {
    return { code: thrown.mysqlCode, message: thrown.message }
  }
  return { code: MYSQL_ERROR.unknown, message: `${describeThrown(thrown)} [verdict: may-have-run]` }
}
