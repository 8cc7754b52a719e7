/** Serves statements that other hosts pass on to this one, as a home of the upstream where they run. */
import { RequestError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { Deadline, pause } from '../../core/time/deadline.ts'
import type { DesiredStateInForce } from '../desired-state/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import {
  homeRollbackSchema, homeStatementSchema, homeStepSchema, type HomeReply, type HomeStatement, type HomeStep, type Step
} from '../homes/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { PeerLink } from '../../peers/types.ts'
import type { StatementAnswer } from '../ports/index.ts'
import type { Registry } from '../registry/index.ts'
import { NOT_RUN_PAUSE_MS, REACH_VERSION_MS, RETRY_AFTER_MS, STOP_POLL_MS, WAIT_SHARE } from './consts.ts'
import { acquire, mayTakeWork, seatHere } from './primary-access.ts'
import { noteAnswer } from './reads.ts'
import type { TimedAnswer } from './run-statement.ts'
import { createLocalSeat, type Seat, type TransactionStep } from './seat.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Options of {@link serveAsHome}. */
interface HomeServerOptions {
  context: EntryContext
  peers: Pick<Peers, 'handle'>
  registry: Pick<Registry, 'current' | 'refresh'>
  desiredState: Pick<DesiredStateInForce, 'reach'>
  logger: Logger
  /** Time for which a transaction may rest between two steps, in milliseconds. */
  idleMs: () => number
  /** Whether this process has been told to stop. */
  isLeaving: () => boolean
}

/** Statements of other hosts in progress here. */
interface HomeServer {
  /** Transactions that are open for other hosts. */
  readonly transactions: number
  /** Waits until they have ended, and ends those that are left. */
  drain: (endMs: number) => Promise<void>
}

/** A transaction that is open for another host. */
interface PassedTransaction {
  seat: Seat
  scope: RequestScope
  restTimer?: NodeJS.Timeout
  running: boolean
}

/**
 * Serves other hosts.
 *
 * @param options - links and limits
 * @returns what is in progress
 */
export function serveAsHome (options: HomeServerOptions): HomeServer {
  const { context, peers, logger } = options
  const open = new Map<number, PassedTransaction>()
  let nextNumber = 1

  const reportOf = (seat: Pick<Seat, 'used'>): Pick<HomeReply, 'load' | 'leaving'> => ({
    load: seat.used.queue.running + seat.used.queue.waiting, leaving: options.isLeaving()
  })
  const replyOf = (seat: Seat, { answer, epoch, ranMs }: TimedAnswer): HomeReply =>
    ({ answer, epoch, ranMs: Math.round(ranMs), ...reportOf(seat) })
  const end = async (number: number, reason: string): Promise<void> => {
    const transaction = open.get(number)
    if (transaction !== undefined && !transaction.running) {
      open.delete(number)
      clearTimeout(transaction.restTimer)
      logger.log('info', 'home.transaction-ended', { id: transaction.scope.requestId, reason })
      await transaction.seat.rollBack()
    }
  }
  const rest = (number: number, transaction: PassedTransaction): void => {
    clearTimeout(transaction.restTimer)
    transaction.restTimer = setTimeout(() => { void end(number, 'it rested for too long') }, options.idleMs())
  }
  /** Keeps a transaction that is open, or ends it; returns its number while it is open. */
  const settle = async (
    number: number, transaction: PassedTransaction, answer: StatementAnswer
  ): Promise<number | undefined> => {
    const { seat } = transaction
    transaction.running = false
    if (answer.state === 'open') {
      open.set(number, transaction)
      rest(number, transaction)
      return number
    }
    open.delete(number)
    answer.state === 'idle' && answer.failure === undefined ? seat.release() : await seat.rollBack()
    return undefined
  }
  /** Transactions by the link that they came over; one listener a link, since a link carries very many. */
  const byLink = new WeakMap<PeerLink, Set<number>>()
  const endWithLink = (link: PeerLink, number: number): void => {
    const known = byLink.get(link)
    if (known !== undefined) {
      known.forEach((other) => open.has(other) || known.delete(other))
      known.add(number)
      return
    }
    const numbers = new Set([number])
    byLink.set(link, numbers)
    link.onClose(() => numbers.forEach((other) => { void end(other, 'the link to its host was lost') }))
  }

  const beginFor = async (
    seat: Seat, scope: RequestScope, question: HomeStatement, link: PeerLink
  ): Promise<HomeReply> => {
    const begun = await seat.begin(scope, question.begin === 'read-only', toStep(question, question.step))
    noteAnswer(context, scope, begun.begin)
    if (begun.begin.answer.failure !== undefined) {
      return { begun: begun.begin.answer, ...reportOf(seat) }
    }
    if (begun.first === undefined) {
      seat.discard()
      return {
        begun: begun.begin.answer,
        lost: { verdict: begun.lost!.verdict, reason: begun.lost!.message },
        ...reportOf(seat)
      }
    }
    const number = nextNumber++
    const kept = await settle(number, { seat, scope, running: true }, begun.first.answer)
    if (kept !== undefined) {
      endWithLink(link, number)
    }
    return { ...replyOf(seat, begun.first), begun: begun.begin.answer, transaction: kept }
  }
  peers.handle('home-statement', async (body, link) => {
    const question = homeStatementSchema.parse(body)
    const { known, scope } = scopeOf(context, question)
    await reachVersion(options, scope)
    const seat = await seatFor(options, known, scope, question)
    if (question.begin !== undefined) {
      return await beginFor(seat, scope, question, link)
    }
    const work = toWork(question, question.step)
    const timed = await seat.runSingle(scope, work, work.access === 'read')
    noteAnswer(context, scope, timed)
    return replyOf(seat, timed)
  })
  peers.handle('home-step', async (body) => {
    const question = homeStepSchema.parse(body)
    const transaction = open.get(question.transaction)
    if (transaction === undefined || transaction.running) {
      throw new RequestError('not-run', 'TransactionLost', { reason: 'its home has ended it' })
    }
    const { seat, scope } = transaction
    const { brokenBecause } = seat
    if (brokenBecause !== undefined) {
      await end(question.transaction, brokenBecause)
      throw new RequestError('not-run', 'TransactionLost', { reason: brokenBecause })
    }
    clearTimeout(transaction.restTimer)
    transaction.running = true
    renew(scope, question)
    try {
      const timed = await seat.step(scope, toStep(question, question.step))
      noteAnswer(context, scope, timed)
      const kept = await settle(question.transaction, transaction, timed.answer)
      return { ...replyOf(seat, timed), transaction: kept }
    } catch (thrown) {
      open.delete(question.transaction)
      seat.discard()
      throw thrown
    }
  })
  peers.handle('home-rollback', async (body) => {
    const { transaction: number } = homeRollbackSchema.parse(body)
    const transaction = open.get(number)
    await end(number, 'it was rolled back')
    return { load: transaction === undefined ? 0 : reportOf(transaction.seat).load, leaving: options.isLeaving() }
  })

  return {
    get transactions () { return open.size },
    drain: async (endMs) => {
      const until = performance.now() + endMs
      while (open.size > 0 && performance.now() < until) {
        await pause(STOP_POLL_MS)
      }
      await Promise.all([...open.keys()].map(async (number) => await end(number, 'this host is stopping')))
    }
  }
}

function scopeOf (context: EntryContext, question: HomeStatement): { known: KnownUpstream, scope: RequestScope } {
  const { id, upstream, organisation, version, priority, costMs, leftMs, inTimeMs, values = [] } = question
  const known = context.directory.get(upstream)
  if (known === undefined || !mayTakeWork(known, context.drainMs)) {
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
  { desiredState }: HomeServerOptions, { group, version }: RequestScope
): Promise<void> {
  if (!await desiredState.reach(version, REACH_VERSION_MS)) {
    const reason = `version ${version} of the desired state is not in force here yet`
    throw new RequestError('not-run', 'NoUpstream', { group, reason, retryAfterMs: NOT_RUN_PAUSE_MS })
  }
}

/** Takes what a further step tells of the request. */
function renew (scope: RequestScope, { id, leftMs, inTimeMs, values }: HomeStep): void {
  scope.requestId = id
  scope.deadline = new Deadline(leftMs)
  scope.inTimeUntil = performance.now() + inTimeMs
  scope.values = values === undefined ? scope.values : new Map(values)
}

/** Takes a connection of this host; never passes a statement on again. */
async function seatFor (
  { context, registry }: HomeServerOptions, known: KnownUpstream, scope: RequestScope, { epoch, after }: HomeStatement
): Promise<Seat> {
  const used = context.pools.of(known)
  if (epoch === undefined) {
    const turn = await acquire(context, scope, used, scope.deadline.leftMs * WAIT_SHARE)
    const right = context.leadership.of(known.group)
    return createLocalSeat(context, {
      known, used, ...turn, after, right: right?.upstream === known.upstream ? right : undefined
    })
  }
  if ((registry.current.group(known.group).row?.epoch ?? 0) < epoch) {
    await registry.refresh()
  }
  // Who asks waits for a primary; this host only says whether it can work there now.
  const hasRight = context.leadership.of(known.group)?.upstream === known.upstream
  const seat = hasRight
    ? await seatHere(context, scope, known, scope.deadline.leftMs * WAIT_SHARE)
    : { notYet: 'no right to work at the primary' }
  if ('notYet' in seat) {
    throw new RequestError('not-run', 'NoUpstream', { group: known.group, reason: seat.notYet, retryAfterMs: RETRY_AFTER_MS })
  }
  return seat
}

function toWork ({ id }: Pick<HomeStep, 'id'>, step: Step): DataWork {
  if (step.type === 'commit') {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'a commit outside a transaction' })
  }
  return step.type === 'data'
    ? { type: 'data', requestId: id, access: step.access, text: step.text }
    : { type: 'execute', requestId: id, access: step.prepared.access, prepared: step.prepared, parameters: step.parameters }
}

function toStep (question: Pick<HomeStep, 'id'>, step: Step): TransactionStep {
  return step.type === 'commit'
    ? { type: 'commit', requestId: question.id, text: step.text }
    : { type: 'work', work: toWork(question, step) }
}
