/**
 * A step of an open transaction, and what follows from its answer, for callers of this host and for those of others.
 *
 * Does the transaction go on? While the upstream says that it is open. Otherwise it ends: only a commit that succeeded
 * leaves nothing to roll back.
 */
import type { StatementAnswer } from '../ports/index.ts'
import { recordAnswer } from './record-answer.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { StatementExecutor, TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/**
 * Runs a further step of a transaction and records what its answer shows.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param executor - where the transaction is open
 * @param step - the step
 * @returns the answer
 * @throws RequestError; the caller discards the executor
 */
export async function runNextStep (
  context: Pick<EntryContext, 'freshness' | 'costs'>, scope: RequestScope, executor: StatementExecutor,
  step: TransactionStep
): Promise<TimedAnswer> {
  const timed = await executor.step(scope, step)
  recordAnswer(context, scope, timed)
  return timed
}

/**
 * Reports whether a transaction goes on after a step.
 *
 * @param answer - answer to the step
 * @returns whether it is open
 */
export function goesOn ({ state }: Pick<StatementAnswer, 'state'>): boolean {
  return state === 'open'
}

/**
 * Ends a transaction at its executor after the answer to a step.
 *
 * @param executor - where it ran; undefined when it was detached meanwhile
 * @param answer - the answer
 */
export async function endTransaction (
  executor: StatementExecutor | undefined, { failure, state }: Pick<StatementAnswer, 'failure' | 'state'>
): Promise<void> {
  if (failure === undefined && state === 'idle') {
    executor?.release()
    return
  }
  await executor?.rollBack()
}
