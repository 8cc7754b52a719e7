/** Whether a transaction goes on after a step, and the end of one that does not. */
import type { StatementAnswer } from '../ports/index.ts'
import type { StatementExecutor } from './statement-executor.ts'

/**
 * Ends a transaction at its executor after the answer to a step: only a commit that succeeded leaves nothing to roll
 * back.
 *
 * @param executor - where it ran; undefined when it was detached meanwhile
 * @param answer - the answer
 */
export async function endTransaction (
  executor: StatementExecutor | undefined, { failure, state }: StatementAnswer
): Promise<void> {
  if (failure === undefined && state === 'idle') {
    executor?.release()
    return
  }
  await executor?.rollBack()
}
