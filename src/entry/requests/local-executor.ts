/** Executes statements at an upstream on a leased connection of this host. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import { OPEN_TRANSACTION_PRIORITY, type ConnectionLease } from '../pools/index.ts'
import { createLeasedCommands, type LeasedUpstream, type LocalContext } from './leased-commands.ts'
import { createPrimaryRights } from './primary-rights.ts'
import type { TimedAnswer } from './run-statement.ts'
import { ROLLBACK_MS, type BeginResult, type StatementExecutor, type TransactionStep } from './statement-executor.ts'
import type { RequestScope } from './types.ts'

/** A leased connection and its execution slot. */
interface AcquiredUpstream extends LeasedUpstream {
  /** Frees the execution slot at the upstream. */
  releaseSlot: () => void
}

/** An executor on a connection of this host. */
export interface LocalExecutor extends StatementExecutor {
  /**
   * Queries the end of the primary's log, and releases the executor. Begins a transaction and rolls it back, which an
   * upstream refuses if it is no longer the primary.
   *
   * @param scope - the current request
   * @returns the answer, with the position
   * @throws RequestError if the primary does not answer
   */
  queryLogEnd: (scope: RequestScope) => Promise<TimedAnswer>
}

async function rollBackOn (lease: ConnectionLease): Promise<void> {
  try {
    const answer = await withTimeout(lease.connection.run({ type: 'rollback' }), ROLLBACK_MS)
    const isDone = answer !== TIMED_OUT && answer.failure === undefined && answer.state === 'idle'
    isDone ? lease.release() : lease.discard()
  } catch {
    // The upstream rolls back the transaction of a lost connection.
    lease.discard()
  }
}

/**
 * Creates an executor on a connection of this host.
 *
 * @param context - services of the entry process
 * @param acquired - the connection
 * @returns the executor
 */
export function createLocalExecutor (context: LocalContext, acquired: AcquiredUpstream): LocalExecutor {
  const { target, resources, lease, releaseSlot, after } = acquired
  const commands = createLeasedCommands(context, acquired, createPrimaryRights(context, acquired))

  const runFirst = async (
    beginAnswer: TimedAnswer, scope: RequestScope, step: TransactionStep
  ): Promise<BeginResult> => {
    try {
      return { beginAnswer, firstAnswer: await commands.step(scope, step) }
    } catch (thrown) {
      return { beginAnswer, firstError: toRequestError(thrown, 'may-have-run') }
    }
  }
  const begin = async (scope: RequestScope, readOnly: boolean, step: TransactionStep): Promise<BeginResult> => {
    try {
      const begun = await commands.begin(scope, readOnly)
      if (begun.answer.failure !== undefined) {
        lease.release()
        return { beginAnswer: begun }
      }
      return await runFirst(begun, scope, step)
    } finally {
      releaseSlot()
      lease.setIdleTransaction(true)
    }
  }
  const runOpenStep = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    // An open transaction holds a connection and locks, so its steps go first.
    const { organisation = '', costMs, softDeadline, deadline: { leftMs: waitMs } } = scope
    const dueInMs = softDeadline - performance.now()
    lease.setIdleTransaction(false)
    const freeSlot = await resources.queue.enter({
      organisation, priority: OPEN_TRANSACTION_PRIORITY, costMs, waitMs, dueInMs
    })
    try {
      const reason = commands.brokenBecause
      if (reason !== undefined) {
        throw new RequestError('not-run', 'TransactionLost', { reason })
      }
      return await commands.step(scope, step)
    } finally {
      freeSlot()
      lease.setIdleTransaction(true)
    }
  }
  return {
    target,
    resources,
    after,
    get brokenBecause () { return commands.brokenBecause },
    runSingle: async (scope, statement, mayAbandon) => {
      try {
        return await commands.single(scope, statement, mayAbandon)
      } finally {
        releaseSlot()
        lease.release()
      }
    },
    begin,
    step: runOpenStep,
    release: lease.release,
    discard: lease.discard,
    rollBack: async () => await rollBackOn(lease),
    queryLogEnd: async (scope) => {
      const timed = await commands.logEnd(scope).finally(releaseSlot)
      void rollBackOn(lease)
      return timed
    }
  }
}
