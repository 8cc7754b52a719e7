/** Serves statements that other hosts forward to this one, as a home of the upstream where they run. */
import { RequestError } from '../../core/errors/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import type { DesiredStateInForce } from '../desired-state/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import {
  homeRollbackSchema, homeStatementSchema, homeStepSchema, type HomeReply, type HomeStatement, type HomeStep
} from '../homes/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { PeerLink } from '../../peers/types.ts'
import type { Registry } from '../registry/index.ts'
import { acquireConnection } from './acquire-connection.ts'
import { decodeStep, decodeWork } from './forwarded-steps.ts'
import { createForwardedTransactions, type ForwardedTransactions } from './forwarded-transactions.ts'
import { createLocalExecutor } from './local-executor.ts'
import { localExecutorAtPrimary, type PrimaryContext } from './primary-access.ts'
import { recordAnswer } from './record-answer.ts'
import { NOT_RUN_PAUSE_MS } from './retry-rules.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { StatementExecutor } from './statement-executor.ts'
import { runNextStep } from './transaction-steps.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { mayTakeWork, RETRY_AFTER_MS, WAIT_SHARE } from './wait-rules.ts'

/**
 * Time that a home waits for the version of the desired state by which a statement was forwarded, in milliseconds: one
 * read of the store, and then another home may have it.
 */
const REACH_VERSION_MS = 40

/** Options of {@link serveForwarded}. */
interface ForwardedOptions {
  context: PrimaryContext & Pick<EntryContext, 'costs' | 'logger'>
  peers: Pick<Peers, 'handle'>
  registry: Pick<Registry, 'current' | 'refresh'>
  desiredState: Pick<DesiredStateInForce, 'ensureVersion'>
  /** Time for which a transaction may be idle between two steps, in milliseconds. */
  idleMs: () => number
  /** Whether this process has been told to stop. */
  isLeaving: () => boolean
}

/** What the handlers of one process share. */
interface ForwardedServer extends ForwardedOptions {
  transactions: ForwardedTransactions
}

/**
 * Serves other hosts.
 *
 * @param options - links and limits
 * @returns the transactions that are open here for other hosts
 */
export function serveForwarded (options: ForwardedOptions): Pick<ForwardedTransactions, 'size' | 'drain'> {
  const { context: { logger }, peers, idleMs } = options
  const transactions = createForwardedTransactions({ logger, idleMs })
  const server: ForwardedServer = { ...options, transactions }
  peers.handle('home-statement', async (body, link) =>
    await serveStatement(server, homeStatementSchema.parse(body), link))
  peers.handle('home-step', async (body) => await serveStep(server, homeStepSchema.parse(body)))
  peers.handle('home-rollback', async (body) => await serveRollback(server, homeRollbackSchema.parse(body).transaction))
  return transactions
}

/** Load of the upstream here, and whether this host is about to stop. */
function reportOf (
  { isLeaving }: ForwardedServer, { used: { queue } }: StatementExecutor
): Pick<HomeReply, 'load' | 'leaving'> {
  return { load: queue.running + queue.waiting, leaving: isLeaving() }
}

function replyOf (
  server: ForwardedServer, executor: StatementExecutor, { answer, epoch, ranMs }: TimedAnswer
): HomeReply {
  return { answer, epoch, ranMs: Math.round(ranMs), ...reportOf(server, executor) }
}

/** A single statement, or the first step of a transaction. */
async function serveStatement (
  server: ForwardedServer, question: HomeStatement, link: PeerLink
): Promise<HomeReply> {
  const { context } = server
  const { known, scope } = scopeOf(context, question)
  await reachVersion(server, scope)
  const executor = await executorFor(server, known, scope, question)
  if (question.begin !== undefined) {
    return await serveBegin(server, executor, scope, question, link)
  }
  const work = decodeWork(question.id, question.step)
  const timed = await executor.runSingle(scope, work, work.access === 'read')
  recordAnswer(context, scope, timed)
  return replyOf(server, executor, timed)
}

async function serveBegin (
  server: ForwardedServer, executor: StatementExecutor, scope: RequestScope, question: HomeStatement, link: PeerLink
): Promise<HomeReply> {
  const { context, transactions } = server
  const step = decodeStep(question.id, question.step)
  const { begin, first, lost } = await executor.begin(scope, question.begin === 'read-only', step)
  recordAnswer(context, scope, begin)
  if (begin.answer.failure !== undefined) {
    return { begun: begin.answer, ...reportOf(server, executor) }
  }
  if (first === undefined) {
    executor.discard()
    return {
      begun: begin.answer,
      lost: { verdict: lost!.verdict, reason: lost!.message },
      ...reportOf(server, executor)
    }
  }
  const transaction = await transactions.add(executor, scope, first.answer, link)
  return { ...replyOf(server, executor, first), begun: begin.answer, transaction }
}

/** A further step of a transaction. */
async function serveStep (server: ForwardedServer, question: HomeStep): Promise<HomeReply> {
  const { context, transactions } = server
  const transaction = await transactions.claim(question.transaction)
  const { executor, scope } = transaction
  renew(scope, question)
  try {
    const timed = await runNextStep(context, scope, executor, decodeStep(question.id, question.step))
    const kept = await transactions.settle(question.transaction, transaction, timed.answer)
    return { ...replyOf(server, executor, timed), transaction: kept }
  } catch (thrown) {
    transactions.discard(question.transaction, transaction)
    throw thrown
  }
}

async function serveRollback (
  server: ForwardedServer, number: number
): Promise<Pick<HomeReply, 'load' | 'leaving'>> {
  const executor = server.transactions.executorOf(number)
  await server.transactions.end(number, 'it was rolled back')
  return executor === undefined ? { load: 0, leaving: server.isLeaving() } : reportOf(server, executor)
}

function scopeOf (
  context: Pick<EntryContext, 'directory' | 'drainMs'>, question: HomeStatement
): { known: KnownUpstream, scope: RequestScope } {
  const { id, upstream, organisation, version, priority, costMs, leftMs, inTimeMs, values = [] } = question
  const known = context.directory.get(upstream)
  if (known === undefined || !mayTakeWork(known, context.drainMs, performance.now())) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: known?.group ?? 'unknown', reason: `upstream ${upstream} is leaving`, retryAfterMs: NOT_RUN_PAUSE_MS
    })
  }
  const scope: RequestScope = {
    requestId: id,
    group: known.group,
    organisation,
    version,
    priority,
    costMs,
    values: new Map(values),
    deadline: new Deadline(leftMs),
    inTimeUntil: performance.now() + inTimeMs,
    attempts: 0,
    triedHomes: new Set()
  }
  return { known, scope }
}

/**
 * Runs nothing by a newer desired state than the one in force here: callers of this host would see an older one after
 * its effect.
 */
async function reachVersion (
  { desiredState }: ForwardedOptions, { group, version }: RequestScope
): Promise<void> {
  if (!await desiredState.ensureVersion(version, REACH_VERSION_MS)) {
    const reason = `version ${version} of the desired state is not in force here yet`
    throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs: NOT_RUN_PAUSE_MS })
  }
}

/** Takes over what a further step says of its request. */
function renew (scope: RequestScope, { id, leftMs, inTimeMs, values }: HomeStep): void {
  scope.requestId = id
  scope.deadline = new Deadline(leftMs)
  scope.inTimeUntil = performance.now() + inTimeMs
  scope.values = values === undefined ? scope.values : new Map(values)
}

/** Returns an executor on a connection of this host; a statement is never forwarded twice. */
async function executorFor (
  { context, registry }: ForwardedOptions, known: KnownUpstream, scope: RequestScope, { epoch, after }: HomeStatement
): Promise<StatementExecutor> {
  const used = context.pools.of(known)
  if (epoch === undefined) {
    const turn = await acquireConnection(context, scope, used, scope.deadline.leftMs * WAIT_SHARE)
    const primaryLease = context.leadership.of(known.group)
    return createLocalExecutor(context, {
      known, used, ...turn, after, primaryLease: primaryLease?.upstream === known.upstream ? primaryLease : undefined
    })
  }
  if ((registry.current.group(known.group).row?.epoch ?? 0) < epoch) {
    await registry.refresh()
  }
  // The requester waits for a primary; this host only reports whether it can work there at once.
  const holdsPrimaryLease = context.leadership.of(known.group)?.upstream === known.upstream
  const executor = holdsPrimaryLease
    ? await localExecutorAtPrimary(context, scope, known, scope.deadline.leftMs * WAIT_SHARE)
    : { notYet: 'no right to work at the primary' }
  if ('notYet' in executor) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: known.group, reason: executor.notYet, retryAfterMs: RETRY_AFTER_MS
    })
  }
  return executor
}
