/**
 * Begins a transaction at an upstream together with its first step. A failed begin has no lasting effect, so it is
 * retried as `retry-rules.ts` decides.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { acquirePrimaryExecutor } from './primary-access.ts'
import { acquireReadExecutor, type ReadContext, type ReadConstraint } from './reads.ts'
import { recordAnswer, recordLag } from './record-answer.ts'
import { decideBeginRetry, RETRY_PAUSE_MS, retryReason, type RetryCause } from './retry-rules.ts'
import type { BeginResult, StatementExecutor, TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Services needed to begin a transaction. */
export type BeginContext = ReadContext & Pick<EntryContext, 'costs' | 'limits'>

/** The transaction to begin. */
interface BeginOptions {
  readOnly: boolean
  /** Which upstreams may run a read-only transaction. */
  constraint: ReadConstraint

  step: TransactionStep
}

/** A transaction that has begun; its first step may have failed. */
interface BegunTransaction {
  executor: StatementExecutor
  begun: BeginResult
}

/**
 * Begins a transaction.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param options - the transaction to begin
 * @returns the executor that holds the transaction, and the outcome of its first step
 * @throws RequestError if no transaction has begun
 */
export async function beginTransaction (
  context: BeginContext, scope: RequestScope, options: BeginOptions
): Promise<BegunTransaction> {
  const triedUpstreams = new Set<string>()
  scope.beginsTransaction = true
  for (;;) {
    const executor = options.readOnly
      ? await acquireReadExecutor(context, scope, options.constraint, triedUpstreams)
      : await acquirePrimaryExecutor(context, scope)
    const { upstream } = executor.target
    const outcome = await attemptBegin(context, scope, executor, options)
    if ('begun' in outcome) {
      return { executor, begun: outcome.begun }
    }
    const { cause, error } = outcome
    const decision = decideBeginRetry(cause, {
      attempts: scope.attempts, deadlinePassed: scope.deadline.passed, throughHome: executor.home !== undefined
    })
    if (decision.action === 'repeat' || cause.type === 'failure') {
      const { requestId: id, group, home } = scope
      context.logger.log('info', 'transaction.begin-retried', { id, group, upstream, home, reason: retryReason(cause) })
    }
    if (decision.action === 'give-up') {
      throw error
    }
    if (scope.sent === true) {
      context.limits.countRetry(scope.organisation ?? '')
      scope.sent = false
    }
    if (decision.excludeUpstream) {
      triedUpstreams.add(upstream)
    }
    await pause(decision.pauseMs)
  }
}

/** Outcome of one attempt; after an error no transaction is open. */
type BeginOutcome = { begun: BeginResult } | { cause: RetryCause, error: RequestError }

async function attemptBegin (
  context: BeginContext, scope: RequestScope, executor: StatementExecutor, { readOnly, step }: BeginOptions
): Promise<BeginOutcome> {
  try {
    const begun = await executor.begin(scope, readOnly, step)
    recordAnswer(context, scope, begun.beginAnswer)
    recordLag(executor, begun.beginAnswer.answer)
    const { failure } = begun.beginAnswer.answer
    if (failure === undefined) {
      return { begun }
    }
    scope.sent = false
    const error = new RequestError('not-run', 'NoUpstream', {
      group: scope.group, reason: failure.kind, retryAfterMs: RETRY_PAUSE_MS
    })
    return { cause: { type: 'failure', kind: failure.kind }, error }
  } catch (thrown) {
    // A home runs the first step together with the begin; on a connection of this host the step is sent afterwards.
    scope.sent = executor.home !== undefined && toRequestError(thrown, 'may-have-run').verdict !== 'not-run'
    const error = toRequestError(thrown, 'not-run', true)
    return { cause: { type: 'error', error, reason: error.message }, error }
  }
}
