/**
 * Serves single reads. A read that requires the latest data goes to the primary. Other reads go to any upstream whose
 * log has reached a position proven to be fresh enough, or to the primary if no position is proven. `retry-rules.ts`
 * decides on retries.
 */
import { describeThrown, RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Freshness, StatementAnswer } from '../ports/index.ts'
import { formatPosition, type LogPosition } from '../../positions/position.ts'
import { acquireConnection } from './acquire-connection.ts'
import { attemptStatement, failureCauseOf, finalAnswerOf } from './attempt.ts'
import { chooseReadUpstream } from './choose-upstream.ts'
import { createForwardingExecutor } from './forwarding-executor.ts'
import { createLocalExecutor } from './local-executor.ts'
import { acquirePrimaryExecutor, type PrimaryContext } from './primary-access.ts'
import { recordLag } from './record-answer.ts'
import { decideReadRetry, retryLabel, retryReason, type RetryCause } from './retry-rules.ts'
import { shouldTryElsewhere, type WaitingRead } from './second-try.ts'
import type { StatementExecutor } from './statement-executor.ts'
import type { ExecutableStatement, EntryContext, RequestScope } from './types.ts'
import { WAIT_SHARE } from './wait-rules.ts'

/** Services needed to prove the freshness of a read. */
type ProofContext = Pick<EntryContext, 'directory' | 'freshness' | 'homes' | 'leadership'>
/** Services needed to acquire an executor for a read. */
export type ReadContext = PrimaryContext & Pick<EntryContext, 'failureDomain' | 'logger'>
/** Services needed to serve a single read. */
type SingleReadContext = ReadContext & Pick<EntryContext, 'retryBudget' | 'costs' | 'limits'>

/** Where a read may run: only at the primary, or at any upstream whose log has reached a position. */
export type ReadConstraint = { type: 'primary' } | { type: 'after', position: LogPosition }

/**
 * Decides where a read may run. Asks peers for a proof of freshness if this host has none.
 *
 * @param context - services of the entry process
 * @param group - the group
 * @param freshness - freshness that the route requires
 * @param arrivedAt - when the read arrived, on the monotonic clock
 * @param sessionFloor - position of the session's last write
 * @returns the constraint
 */
export async function resolveReadConstraint (
  context: ProofContext, group: string, freshness: Freshness, arrivedAt: number, sessionFloor?: LogPosition
): Promise<ReadConstraint> {
  if (freshness.type === 'primary') {
    return { type: 'primary' }
  }
  const floor = freshness.type === 'session' ? sessionFloor : undefined
  const since = arrivedAt - freshness.maximumAgeMs
  const proofs = context.freshness.of(group)
  const provenFloor = proofs.floorSince(since, floor)
  const position = provenFloor ?? await fetchFloor(context, group, since, floor)
  return position === undefined ? { type: 'primary' } : { type: 'after', position }
}

/** Fetches a proof of freshness from peers, where the homes of the primary can create one. */
async function fetchFloor (
  { directory, freshness, homes, leadership }: ProofContext, group: string, since: number, floor?: LogPosition
): Promise<LogPosition | undefined> {
  const primary = directory.get(leadership.primaryOf(group) ?? '')
  const found = await freshness.fetch(group, since, primary === undefined ? [] : homes.of(primary))
  return found ? freshness.of(group).floorSince(since, floor) : undefined
}

/**
 * Acquires an executor for a read: at the upstream with the lowest cost that satisfies the constraint, otherwise at the
 * primary.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param constraint - where the read may run
 * @param triedUpstreams - upstreams to avoid; those without a connection in time are added
 * @param tryElsewhere - decides whether a read that waits for an answer is tried at another upstream
 * @returns the executor
 * @throws RequestError with verdict `not-run`
 */
export async function acquireReadExecutor (
  context: ReadContext, scope: RequestScope, constraint: ReadConstraint, triedUpstreams: Set<string>,
  tryElsewhere?: (read: WaitingRead) => boolean
): Promise<StatementExecutor> {
  if (constraint.type === 'primary') {
    return await acquirePrimaryExecutor(context, scope)
  }
  for (;;) {
    const chosen = chooseReadUpstream(context, scope, constraint.position, triedUpstreams)
    if (chosen === undefined) {
      return await acquirePrimaryExecutor(context, scope)
    }
    scope.attempts++
    const { target, resources, home } = chosen
    if (home !== undefined) {
      const { position } = constraint
      const shouldAbandon = tryElsewhere === undefined
        ? undefined
        : (elapsedMs: number) => tryElsewhere({ scope, target, position, elapsedMs })
      return createForwardingExecutor(context, { home, target, resources, after: position, shouldAbandon })
    }
    try {
      const waitMs = Math.max(1, scope.deadline.leftMs * WAIT_SHARE / 2)
      const acquired = await acquireConnection(context, scope, resources, waitMs)
      const primaryLease = context.leadership.leaseOf(scope.group)
      const isPrimary = primaryLease?.upstream === target.upstream
      return createLocalExecutor(context, {
        target, resources, ...acquired, after: constraint.position, primaryLease: isPrimary ? primaryLease : undefined
      })
    } catch (thrown) {
      if (thrown instanceof RequestError && thrown.entry === 'ConnectionLost') {
        // Connection attempts time out later than reads do; until then every read would try this upstream.
        resources.health.recordConnectionTimeout()
      }
      scope.deadline.check('not-run', 'looking for an upstream')
      context.logger.log('info', 'read.upstream-unavailable', {
        id: scope.requestId, group: scope.group, upstream: target.upstream, reason: describeThrown(thrown)
      })
      triedUpstreams.add(target.upstream)
    }
  }
}

/**
 * Serves a single read.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param statement - the read
 * @param constraint - where the read may run
 * @returns the answer and the upstream that gave it
 * @throws RequestError if no upstream is available, or if the last attempt got no answer
 */
export async function serveRead (
  context: SingleReadContext, scope: RequestScope, statement: ExecutableStatement, constraint: ReadConstraint
): Promise<StatementAnswer & { upstream: string }> {
  const triedUpstreams = new Set<string>()
  const tryElsewhere = (read: WaitingRead): boolean => shouldTryElsewhere(context, read)
  for (;;) {
    const executor = await acquireReadExecutor(context, scope, constraint, triedUpstreams, tryElsewhere)
    const { upstream } = executor.target
    const outcome = await attemptStatement(context, scope, statement, executor)
    if ('answer' in outcome) {
      recordLag(executor, outcome.answer)
    }
    const cause = failureCauseOf(outcome)
    if (cause === undefined) {
      return { ...finalAnswerOf(outcome), upstream }
    }
    const decision = decideReadRetry(cause, {
      attempts: scope.attempts,
      primaryOnly: constraint.type === 'primary',
      deadlinePassed: scope.deadline.passed,
      spendBudget: () => spendRetry(context, scope, upstream, cause)
    })
    if (decision.action === 'give-up') {
      return { ...finalAnswerOf(outcome), upstream }
    }
    if (decision.mayHaveRun) {
      context.limits.countRetry(scope.organisation ?? '')
    }
    logRetry(context, scope, upstream, cause, constraint)
    if (decision.excludeUpstream) {
      triedUpstreams.add(upstream)
    }
    if (decision.pauseMs > 0) {
      await pause(decision.pauseMs)
    }
  }
}

/** Takes a retry from the budget. Logs a refusal, since the answer to the caller does not mention the budget. */
function spendRetry (
  { retryBudget, logger }: Pick<EntryContext, 'retryBudget' | 'logger'>,
  scope: RequestScope, upstream: string, cause: RetryCause
): boolean {
  const { requestId, group, attempts, home, retryWithdrawn } = scope
  scope.retryWithdrawn = false
  if (retryWithdrawn === true || retryBudget.tryWithdraw()) {
    return true
  }
  logger.log('warn', 'retry.refused', {
    id: requestId, group, upstream, home, reason: retryReason(cause), attempts, balance: retryBudget.balance.toFixed(1)
  })
  return false
}

function logRetry (
  { logger, metrics }: Pick<EntryContext, 'logger' | 'metrics'>,
  { requestId, group, attempts, home }: RequestScope, upstream: string, cause: RetryCause, constraint: ReadConstraint
): void {
  metrics.retry(retryLabel(cause))
  logger.log('info', 'read.retried', {
    id: requestId,
    group,
    upstream,
    home,
    reason: retryReason(cause),
    attempts,
    floor: constraint.type === 'after' ? formatPosition(constraint.position) : 'primary'
  })
}
