/**
 * Begins a transaction at an upstream together with its first step. A beginning that fails has kept nothing, so it is
 * tried again, elsewhere where that may help; `retry-rules.ts` decides how often.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { executorAtPrimary } from './primary-access.ts'
import { executorForRead, type ReadContext, type ReadPlace } from './reads.ts'
import { recordAnswer, recordLag } from './record-answer.ts'
import { decideBegin, NOT_RUN_PAUSE_MS, retryReason, type RetryCause } from './retry-rules.ts'
import type { Begun, StatementExecutor, TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** What beginning a transaction needs from the rest of the process. */
export type BeginContext = ReadContext & Pick<EntryContext, 'costs'>

/** Which transaction is begun. */
interface BeginOptions {
  readOnly: boolean
  /** Where a transaction that only reads may run. */
  place: ReadPlace
  /** Its first step. */
  step: TransactionStep
}

/** A transaction that has begun, whatever became of its first step. */
interface BegunTransaction {
  executor: StatementExecutor
  begun: Begun
}

/**
 * Begins a transaction.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param options - which transaction
 * @returns the executor that it stays with, and the outcome of its first step
 * @throws RequestError; nothing was begun
 */
export async function beginTransaction (
  context: BeginContext, scope: RequestScope, options: BeginOptions
): Promise<BegunTransaction> {
  const tried = new Set<string>()
  for (;;) {
    const executor = options.readOnly
      ? await executorForRead(context, scope, options.place, tried)
      : await executorAtPrimary(context, scope)
    const { upstream } = executor.known
    const outcome = await attemptBegin(context, scope, executor, options)
    if ('begun' in outcome) {
      return { executor, begun: outcome.begun }
    }
    const { cause, error } = outcome
    const decision = decideBegin(cause, {
      attempts: scope.attempts, deadlinePassed: scope.deadline.passed, throughHome: executor.home !== undefined
    })
    if (decision.action === 'repeat' || cause.type === 'failure') {
      const { requestId: id, group, home } = scope
      context.logger.log('info', 'transaction.begin-repeated', { id, group, upstream, home, reason: retryReason(cause) })
    }
    if (decision.action === 'give-up') {
      throw error
    }
    if (decision.elsewhere) {
      tried.add(upstream)
    }
    await pause(decision.pauseMs)
  }
}

/** Outcome of one attempt; with an error nothing was begun. */
type BeginOutcome = { begun: Begun } | { cause: RetryCause, error: RequestError }

async function attemptBegin (
  context: BeginContext, scope: RequestScope, executor: StatementExecutor, { readOnly, step }: BeginOptions
): Promise<BeginOutcome> {
  try {
    const begun = await executor.begin(scope, readOnly, step)
    recordAnswer(context, scope, begun.begin)
    recordLag(executor, begun.begin.answer)
    const { failure } = begun.begin.answer
    if (failure === undefined) {
      return { begun }
    }
    const error = new RequestError('not-run', 'NoUpstream', {
      group: scope.group, reason: failure.kind, retryAfterMs: NOT_RUN_PAUSE_MS
    })
    return { cause: { type: 'failure', kind: failure.kind }, error }
  } catch (thrown) {
    const error = toRequestError(thrown, 'not-run', true)
    return { cause: { type: 'error', error, reason: error.message }, error }
  }
}
