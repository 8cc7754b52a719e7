/**
 * Runs the steps of an open transaction, both for callers of this host and for transactions that other hosts forward.
 * The upstream's answer tells whether the transaction stays open. One that has ended is rolled back, unless its answer
 * reports success and an idle connection.
 */
import type { StatementAnswer } from '../ports/index.ts'
import { recordAnswer } from './record-answer.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { StatementExecutor, TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/**
 * Runs a step of an open transaction and records the position and the cost that its answer reports.
 *
 * @param context - services of the entry process
 * @param scope - the current request
 * @param executor - executor that holds the transaction
 * @param step - the step to run
 * @returns the upstream's answer
 * @throws RequestError if the transaction is lost; the caller must discard the executor
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
 * Reports whether a transaction is still open after a step.
 *
 * @param answer - answer to the step
 * @returns true while the upstream reports the transaction as open
 */
export function leavesTransactionOpen ({ state }: Pick<StatementAnswer, 'state'>): boolean {
  return state === 'open'
}

/**
 * Releases the executor of a transaction that has ended, or rolls the transaction back if its last step failed.
 *
 * @param executor - executor of the transaction; undefined if it was already detached
 * @param answer - answer to the last step
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
