/**
 * Serves single reads.
 *
 * Where may a read run? Inputs: the route's freshness with its greatest age in milliseconds, when the read arrived on
 * the steady clock, the session's own writes, and what this host or a peer can prove of the primary's log. A read that
 * must see everything goes to the primary; any other one goes wherever the log has reached the proven position, and to
 * the primary when nothing is proven. What is repeated is decided in `retry-rules.ts`.
 */
import { describeThrown, RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Freshness, StatementAnswer } from '../ports/index.ts'
import { formatPosition, type LogPosition } from '../../positions/position.ts'
import { acquireConnection } from './acquire-connection.ts'
import { attemptStatement, failureCauseOf, finalAnswerOf } from './attempt.ts'
import { chooseForRead } from './choose-upstream.ts'
import { createForwardingExecutor } from './forwarding-executor.ts'
import { createLocalExecutor } from './local-executor.ts'
import { executorAtPrimary, type PrimaryContext } from './primary-access.ts'
import { recordLag } from './record-answer.ts'
import { decideRead, retryLabel, retryReason, type RetryCause } from './retry-rules.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'
import { WAIT_SHARE } from './wait-rules.ts'

/** What a proof of freshness needs from the rest of the process. */
type ProofContext = Pick<EntryContext, 'directory' | 'freshness' | 'homes' | 'leadership'>
/** What the way of a read to an upstream needs. */
export type ReadContext = PrimaryContext & Pick<EntryContext, 'failureDomain' | 'logger'>
/** What a single read needs. */
type SingleReadContext = ReadContext & Pick<EntryContext, 'budget' | 'costs' | 'limits'>

/**
 * Where a read may run: at the primary only, or wherever the log has reached a position.
 */
export type ReadPlace = { type: 'primary' } | { type: 'after', position: LogPosition }

/**
 * Decides where a read may run; asks peers for a proof of freshness when this host has none.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param freshness - what the route asks for
 * @param arrivedAt - when the read arrived, on the steady clock
 * @param sessionFloor - what the session itself has written
 * @returns the place
 */
export async function placeRead (
  context: ProofContext, group: string, freshness: Freshness, arrivedAt: number, sessionFloor?: LogPosition
): Promise<ReadPlace> {
  if (freshness.type === 'primary') {
    return { type: 'primary' }
  }
  const floor = freshness.type === 'session' ? sessionFloor : undefined
  const since = arrivedAt - freshness.maximumAgeMs
  const proofs = context.freshness.of(group)
  const known = proofs.floorSince(since, floor)
  const position = known ?? await fetchFloor(context, group, since, floor)
  return position === undefined ? { type: 'primary' } : { type: 'after', position }
}

/** Asks for a proof: the homes of the primary can make one. */
async function fetchFloor (
  { directory, freshness, homes, leadership }: ProofContext, group: string, since: number, floor?: LogPosition
): Promise<LogPosition | undefined> {
  const primary = directory.get(leadership.primaryOf(group) ?? '')
  const found = await freshness.fetch(group, since, primary === undefined ? [] : homes.of(primary))
  return found ? freshness.of(group).floorSince(since, floor) : undefined
}

/**
 * Returns an executor at an upstream where a read may run.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param place - where it may run
 * @param tried - upstreams that have been tried
 * @returns the executor
 * @throws RequestError with verdict `not-run`
 */
export async function executorForRead (
  context: ReadContext, scope: RequestScope, place: ReadPlace, tried: Set<string>
): Promise<StatementExecutor> {
  if (place.type === 'primary') {
    return await executorAtPrimary(context, scope)
  }
  for (;;) {
    const chosen = chooseForRead(context, scope, place.position, tried)
    if (chosen === undefined) {
      return await executorAtPrimary(context, scope)
    }
    scope.attempts++
    const { known, used, home } = chosen
    if (home !== undefined) {
      return createForwardingExecutor(context, { home, known, used, after: place.position })
    }
    try {
      const waitMs = Math.max(1, scope.deadline.leftMs * WAIT_SHARE / 2)
      const turn = await acquireConnection(context, scope, used, waitMs)
      const primaryLease = context.leadership.of(scope.group)
      const isPrimary = primaryLease?.upstream === known.upstream
      return createLocalExecutor(context, {
        known, used, ...turn, after: place.position, primaryLease: isPrimary ? primaryLease : undefined
      })
    } catch (thrown) {
      if (thrown instanceof RequestError && thrown.entry === 'ConnectionLost') {
        // Its connection attempts fail later than reads give up waiting for one; until then each read would try it.
        used.health.notReachedInTime()
      }
      scope.deadline.check('not-run', 'looking for an upstream')
      context.logger.log('info', 'read.upstream-unavailable', {
        id: scope.requestId, group: scope.group, upstream: known.upstream, reason: describeThrown(thrown)
      })
      tried.add(known.upstream)
    }
  }
}

/**
 * Serves a single read.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param work - the read
 * @param place - where it may run
 * @returns the answer
 * @throws RequestError
 */
export async function serveRead (
  context: SingleReadContext, scope: RequestScope, work: DataWork, place: ReadPlace
): Promise<StatementAnswer & { upstream: string }> {
  const tried = new Set<string>()
  for (;;) {
    const executor = await executorForRead(context, scope, place, tried)
    const { upstream } = executor.known
    const outcome = await attemptStatement(context, scope, work, executor)
    if ('answer' in outcome) {
      recordLag(executor, outcome.answer)
    }
    const cause = failureCauseOf(outcome)
    if (cause === undefined) {
      return { ...finalAnswerOf(outcome), upstream }
    }
    const decision = decideRead(cause, {
      attempts: scope.attempts,
      primaryOnly: place.type === 'primary',
      deadlinePassed: scope.deadline.passed,
      spendBudget: () => spendRetry(context, scope, upstream, cause)
    })
    if (decision.action === 'give-up') {
      return { ...finalAnswerOf(outcome), upstream }
    }
    if (decision.mayHaveRun) {
      context.limits.countRetry(scope.organisation ?? '')
    }
    logRepeat(context, scope, upstream, cause, place)
    if (decision.elsewhere) {
      tried.add(upstream)
    }
    if (decision.pauseMs > 0) {
      await pause(decision.pauseMs)
    }
  }
}

/** Takes a retry from the budget. A refusal is logged: the caller's answer does not show that it is the cause. */
function spendRetry (
  { budget, logger }: Pick<EntryContext, 'budget' | 'logger'>, { requestId, group, attempts, home }: RequestScope,
  upstream: string, cause: RetryCause
): boolean {
  if (budget.tryWithdraw()) {
    return true
  }
  logger.log('warn', 'retry.refused', {
    id: requestId, group, upstream, home, reason: retryReason(cause), attempts, balance: budget.balance.toFixed(1)
  })
  return false
}

function logRepeat (
  { logger, measures }: Pick<EntryContext, 'logger' | 'measures'>, { requestId, group, attempts, home }: RequestScope, upstream: string,
  cause: RetryCause, place: ReadPlace
): void {
  measures.retry(retryLabel(cause))
  logger.log('info', 'read.repeated', {
    id: requestId,
    group,
    upstream,
    home,
    reason: retryReason(cause),
    attempts,
    floor: place.type === 'after' ? formatPosition(place.position) : 'primary'
  })
}
