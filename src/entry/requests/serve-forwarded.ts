/** Serves statements that other hosts forward to this host as a home of their upstream. */
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { DesiredStateInForce } from '../desired-state/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import {
  homeRollbackSchema, homeStatement, homeStep, type HomeReply, type HomeStatement, type HomeStep
} from '../homes/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { PeerLink } from '../../peers/types.ts'
import type { Registry } from '../registry/index.ts'
import { acquireConnection, queueRequestOf } from './acquire-connection.ts'
import { createScope, keepValues, updateScope } from './forwarded-scope.ts'
import { decodeStep, decodeStatement } from './forwarded-steps.ts'
import { createForwardedTransactions, type ForwardedTransactions } from './forwarded-transactions.ts'
import { createLocalExecutor } from './local-executor.ts'
import { acquireLocalPrimaryExecutor, type PrimaryContext } from './primary-access.ts'
import { recordAnswer, recordReadOutcome } from './record-answer.ts'
import { RETRY_PAUSE_MS } from './retry-rules.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { StatementExecutor } from './statement-executor.ts'
import { STOP_POLL_MS } from './stop-sessions.ts'
import type { StopTimes } from './stop-times.ts'
import { runNextStep } from './transaction-steps.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { RETRY_AFTER_MS, WAIT_SHARE } from './wait-rules.ts'

/**
 * How long a home waits for the version of the desired state with which a statement was forwarded, in milliseconds. It
 * allows for one read of the store; after that the statement is refused, so that another home can be tried.
 */
const VERSION_WAIT_MS = 40

/** Options of {@link serveForwarded}. */
interface ForwardedOptions {
  context: PrimaryContext & Pick<EntryContext, 'costs' | 'logger' | 'memory'>
  peers: Pick<Peers, 'handle'>
  registry: Pick<Registry, 'current' | 'refresh'>
  desiredState: Pick<DesiredStateInForce, 'ensureVersion'>
  /** Maximum idle time of a transaction between two steps, in milliseconds. */
  idleMs: () => number
  /** Whether this process is shutting down. */
  isLeaving: () => boolean
}

/** State shared by the message handlers. */
interface ForwardedServer extends ForwardedOptions {
  transactions: ForwardedTransactions
  /** Whether new statements are refused, so that their hosts try another home. */
  refusesNew: boolean
}

/** Work of this host for other hosts. */
interface ForwardedWork {
  /** Number of open transactions. */
  readonly openTransactions: number
  /** Number of statements and steps in progress. */
  readonly inProgress: number
  /**
   * Waits until everything has ended: refuses new work once other hosts know of the stop, ends transactions when their
   * time is over, and gives statements in progress the time for answers.
   *
   * @param times - the times of the stop
   * @param startedAt - its beginning, on the monotonic clock, in milliseconds
   */
  drain: (times: StopTimes, startedAt: number) => Promise<void>
}

/**
 * Registers the handlers of forwarded statements.
 *
 * @param options - services and limits
 * @returns the work that is in progress for other hosts
 */
export function serveForwarded (options: ForwardedOptions): ForwardedWork {
  const { context: { logger }, peers, idleMs } = options
  const transactions = createForwardedTransactions({ logger, idleMs })
  const server: ForwardedServer = { ...options, transactions, refusesNew: false }
  const inProgress = new Set<Promise<HomeReply>>()
  const track = async (serving: Promise<HomeReply>): Promise<HomeReply> => {
    inProgress.add(serving)
    return await serving.finally(() => inProgress.delete(serving))
  }
  peers.handle('home-statement', async (body, link) =>
    await track(serveStatement(server, homeStatement.read(body), link)))
  peers.handle('home-step', async (body) => await track(serveStep(server, homeStep.read(body))))
  peers.handle('home-rollback', async (body) => await serveRollback(server, homeRollbackSchema.parse(body).transaction))
  return {
    get openTransactions () { return transactions.size },
    get inProgress () { return inProgress.size },
    drain: async ({ endingMs, transactionsMs, answersMs }, startedAt) => {
      const elapsed = (): number => performance.now() - startedAt
      await pause(endingMs - elapsed())
      server.refusesNew = true
      await transactions.drain(transactionsMs - elapsed())
      while (inProgress.size > 0 && elapsed() < answersMs) {
        await pause(STOP_POLL_MS)
      }
    }
  }
}

/** What a home reports about itself. */
type LoadReport = Pick<HomeReply, 'load' | 'leaving' | 'queued' | 'running' | 'waitMs'>

/**
 * Returns the load of the upstream on this host, and whether this host is shutting down. The load includes the
 * statement that is answered, so that hosts spread their next statements over homes: without it, 0.944 to 0.946 of the
 * reads during a partition were in time, with it 0.957 to 0.965.
 *
 * @param server - state of the handlers
 * @param executor - the upstream
 * @param scope - the statement that is answered; undefined for the end of a transaction
 * @returns the report
 */
function loadReportOf (
  { isLeaving }: ForwardedServer, { resources: { queue } }: StatementExecutor, scope?: RequestScope
): LoadReport {
  const answered = scope === undefined ? 0 : 1
  const report: LoadReport = { load: answered + queue.running + queue.waiting, leaving: isLeaving() }
  if (scope !== undefined && queue.waiting > 0) {
    report.queued = queue.waiting
    report.running = queue.running
    report.waitMs = Math.round(queue.waitFor(queueRequestOf(scope, scope.deadline.leftMs)))
  }
  return report
}

function replyOf (
  server: ForwardedServer, executor: StatementExecutor, scope: RequestScope, { answer, epoch, ranMs }: TimedAnswer
): HomeReply {
  return { answer, epoch, ranMs: Math.round(ranMs), ...loadReportOf(server, executor, scope) }
}

/** Serves a single statement, or begins a transaction with its first step. */
async function serveStatement (
  server: ForwardedServer, message: HomeStatement, link: PeerLink
): Promise<HomeReply> {
  const { context } = server
  const { target, scope } = createScope(context, message)
  if (server.refusesNew) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: target.group, reason: 'its home is stopping', retryAfterMs: RETRY_PAUSE_MS
    })
  }
  await awaitVersion(server, scope)
  if (message.begin !== undefined) {
    return await serveBegin(server, target, scope, message, link)
  }
  const executor = await acquireExecutor(server, target, scope, message)
  const statement = decodeStatement(message.id, message.step)
  const timed = await executor.runSingle(scope, statement, statement.access === 'read')
  recordAnswer(context, scope, timed)
  statement.access === 'read' && recordReadOutcome(executor, scope, timed)
  return replyOf(server, executor, scope, timed)
}

/** Begins a transaction, which keeps the memory of its session values only if it stays open. */
async function serveBegin (
  server: ForwardedServer, target: KnownUpstream, scope: RequestScope, message: HomeStatement, link: PeerLink
): Promise<HomeReply> {
  try {
    keepValues(server.context.memory.budget, scope)
    const executor = await acquireExecutor(server, target, scope, message)
    const reply = await begin(server, executor, scope, message, link)
    reply.transaction ?? scope.valuesHold?.close()
    return reply
  } catch (thrown) {
    scope.valuesHold?.close()
    throw thrown
  }
}

async function begin (
  server: ForwardedServer, executor: StatementExecutor, scope: RequestScope, message: HomeStatement, link: PeerLink
): Promise<HomeReply> {
  const { context, transactions } = server
  const step = decodeStep(message.id, message.step)
  const { beginAnswer, firstAnswer, firstError } = await executor.begin(scope, message.begin === 'read-only', step)
  recordAnswer(context, scope, beginAnswer)
  if (beginAnswer.answer.failure !== undefined) {
    return { begun: beginAnswer.answer, ...loadReportOf(server, executor, scope) }
  }
  if (firstAnswer === undefined) {
    executor.discard()
    return {
      begun: beginAnswer.answer,
      lost: { verdict: firstError!.verdict, reason: firstError!.message },
      ...loadReportOf(server, executor, scope)
    }
  }
  const transaction = await transactions.add(executor, scope, firstAnswer.answer, link)
  return { ...replyOf(server, executor, scope, firstAnswer), begun: beginAnswer.answer, transaction }
}

/** Serves another step of an open transaction. */
async function serveStep (server: ForwardedServer, message: HomeStep): Promise<HomeReply> {
  const { context, transactions } = server
  const transaction = await transactions.claim(message.transaction)
  const { executor, scope } = transaction
  try {
    updateScope(context.memory.budget, scope, message)
    const timed = await runNextStep(context, scope, executor, decodeStep(message.id, message.step))
    const kept = await transactions.settle(message.transaction, transaction, timed.answer)
    return { ...replyOf(server, executor, scope, timed), transaction: kept }
  } catch (thrown) {
    transactions.discard(message.transaction, transaction)
    throw thrown
  }
}

async function serveRollback (
  server: ForwardedServer, number: number
): Promise<Pick<HomeReply, 'load' | 'leaving'>> {
  const executor = server.transactions.executorOf(number)
  await server.transactions.end(number, 'it was rolled back')
  return executor === undefined ? { load: 0, leaving: server.isLeaving() } : loadReportOf(server, executor)
}

/**
 * Waits until the desired state in force here is as new as the one that applies to the request. Otherwise callers of
 * this host could be served by an older desired state after the statement has run.
 */
async function awaitVersion (
  { desiredState }: ForwardedOptions, { group, version }: RequestScope
): Promise<void> {
  if (!await desiredState.ensureVersion(version, VERSION_WAIT_MS)) {
    const reason = `version ${version} of the desired state is not in force here yet`
    throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs: RETRY_PAUSE_MS })
  }
}

/** Acquires an executor on a connection of this host; a statement is never forwarded twice. */
async function acquireExecutor (
  { context, registry }: ForwardedOptions, target: KnownUpstream, scope: RequestScope, { epoch, after }: HomeStatement
): Promise<StatementExecutor> {
  const resources = context.pools.of(target)
  if (epoch === undefined) {
    const acquired = await acquireConnection(context, scope, resources, scope.deadline.leftMs * WAIT_SHARE)
    const primaryLease = context.leadership.leaseOf(target.group)
    return createLocalExecutor(context, {
      target,
      resources,
      ...acquired,
      after,
      primaryLease: primaryLease?.upstream === target.upstream ? primaryLease : undefined
    })
  }
  if ((registry.current.group(target.group).row?.epoch ?? 0) < epoch) {
    await registry.refresh()
  }
  // The forwarding host waits for a primary; this host only reports whether it can use the primary right away.
  const holdsPrimaryLease = context.leadership.leaseOf(target.group)?.upstream === target.upstream
  const executor = holdsPrimaryLease
    ? await acquireLocalPrimaryExecutor(context, scope, target, scope.deadline.leftMs * WAIT_SHARE)
    : { unavailableReason: 'no right to work at the primary' }
  if ('unavailableReason' in executor) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: target.group, reason: executor.unavailableReason, retryAfterMs: RETRY_AFTER_MS
    })
  }
  return executor
}
