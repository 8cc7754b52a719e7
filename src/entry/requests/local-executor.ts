/** Executes statements at an upstream on a leased connection of this host. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { PrimaryLease } from '../leadership/index.ts'
import type { ConnectionLease, UpstreamResources } from '../pools/index.ts'
import type { UpstreamCommand } from '../ports/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { createPrimaryRights, type PrimaryRights } from './primary-rights.ts'
import { runCommand, runStatement, type RunOptions, type TimedAnswer } from './run-statement.ts'
import { ROLLBACK_MS, type BeginResult, type StatementExecutor, type TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Priority of steps of open transactions; ahead of all other statements, whose priorities start at 0. */
const OPEN_TRANSACTION_PRIORITY = -1

/** Services that a local executor needs. */
type LocalContext = Pick<EntryContext, 'leadership' | 'freshness' | 'metrics' | 'logger'>

/** A leased connection to an upstream, and the conditions under which statements may be sent on it. */
interface LeasedUpstream {
  target: KnownUpstream
  resources: UpstreamResources
  lease: ConnectionLease
  /** Frees the execution slot at the upstream. */
  releaseSlot: () => void
  /** Position that the upstream's log must have reached; undefined if the statements require the primary. */
  after?: LogPosition
  /** Lease of this host on the primary; undefined at a replica. */
  primaryLease?: PrimaryLease
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

/**
 * Reports whether a lease on a primary is still valid. Checked right before each statement is sent.
 *
 * @param context - services of the entry process
 * @param group - the group
 * @param primaryLease - the lease to check
 * @returns true if this host still holds a lease of the same epoch
 */
export function isLeaseValid (
  { leadership }: Pick<EntryContext, 'leadership'>, group: string, primaryLease: PrimaryLease
): boolean {
  return leadership.leaseOf(group)?.epoch === primaryLease.epoch
}

/**
 * Returns the position that an upstream's log must have reached. At the primary it is the last position known for the
 * lease's epoch. This rejects a primary that has restarted empty before its directory row is updated; reads there would
 * miss acknowledged writes.
 */
function requiredPosition (
  { freshness }: LocalContext, { target, after, primaryLease }: LeasedUpstream
): LogPosition | undefined {
  if (after !== undefined || primaryLease === undefined) {
    return after
  }
  const proofs = freshness.of(target.group)
  return proofs.epoch === primaryLease.epoch ? proofs.newest : undefined
}

function runOptionsOf (
  { leadership, metrics }: LocalContext, { target, resources, lease }: LeasedUpstream, scope: RequestScope,
  mayAbandon: boolean
): RunOptions {
  return {
    resources,
    lease,
    deadline: scope.deadline,
    onFinished: metrics.upstream,
    onSilence: () => {
      leadership.suspect(target.upstream)
      return mayAbandon && resources.health.unreachableSince !== undefined
    }
  }
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
 * Returns the reason why a transaction cannot continue here, if any. A read-only transaction at a known position needs
 * no lease, so it survives a change of the primary.
 */
function findBrokenReason (
  { lease }: LeasedUpstream, rights: PrimaryRights, onlyReads: boolean
): string | undefined {
  if (lease.connection.closed) {
    return 'its connection was lost'
  }
  return rights.maySend(onlyReads) ? undefined : 'the primary has changed'
}

/** Adds the epoch of the lease to an answer; logs an answer that came after the lease had ended. */
function addEpoch (context: LocalContext, leased: LeasedUpstream, timed: TimedAnswer): TimedAnswer {
  const { target: { group, upstream }, primaryLease } = leased
  if (primaryLease !== undefined && !isLeaseValid(context, group, primaryLease)) {
    const { epoch } = primaryLease
    const outcome = timed.answer.failure?.kind ?? 'done'
    context.logger.log('info', 'leadership.answer-after-lease', {
      group, upstream, epoch, outcome, ranMs: Math.round(timed.ranMs)
    })
  }
  return { ...timed, epoch: primaryLease?.epoch }
}

/**
 * Creates an executor on a connection of this host.
 *
 * @param context - services of the entry process
 * @param leased - the connection
 * @returns the executor
 */
export function createLocalExecutor (context: LocalContext, leased: LeasedUpstream): LocalExecutor {
  const { target, resources, lease, releaseSlot, after } = leased
  const rights = createPrimaryRights(context, leased)
  let onlyReads = false
  const optionsOf = (scope: RequestScope, mayAbandon: boolean) => runOptionsOf(context, leased, scope, mayAbandon)
  const withEpoch = (timed: TimedAnswer): TimedAnswer => addEpoch(context, leased, timed)
  const runStep = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    const options = optionsOf(scope, false)
    const timed = await rights.whileRunning(async () => step.type === 'statement'
      ? await runStatement(step.statement, scope.values, undefined, options)
      : await runCommand(step, options))
    return withEpoch(timed)
  }
  const runFirst = async (
    beginAnswer: TimedAnswer, scope: RequestScope, step: TransactionStep
  ): Promise<BeginResult> => {
    try {
      return { beginAnswer, firstAnswer: await runStep(scope, step) }
    } catch (thrown) {
      return { beginAnswer, firstError: toRequestError(thrown, 'may-have-run') }
    }
  }
  const begin = async (scope: RequestScope, readOnly: boolean, step: TransactionStep): Promise<BeginResult> => {
    onlyReads = readOnly
    const command: UpstreamCommand = {
      type: 'begin', readOnly: readOnly && after !== undefined, after: requiredPosition(context, leased)
    }
    try {
      const begun = withEpoch(await rights.whileRunning(async () => await runCommand(command, optionsOf(scope, true))))
      if (begun.answer.failure !== undefined) {
        lease.release()
        return { beginAnswer: begun }
      }
      return await runFirst(begun, scope, step)
    } finally {
      releaseSlot()
    }
  }
  const runOpenStep = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    // An open transaction holds a connection and locks, so its steps go first.
    const waitMs = scope.deadline.leftMs
    const freeSlot = await resources.queue.enter({ priority: OPEN_TRANSACTION_PRIORITY, costMs: scope.costMs, waitMs })
    try {
      // The lease may have expired while the step waited in the queue.
      const reason = findBrokenReason(leased, rights, onlyReads)
      if (reason !== undefined) {
        throw new RequestError('not-run', 'TransactionLost', { reason })
      }
      return await runStep(scope, step)
    } finally {
      freeSlot()
    }
  }
  return {
    target,
    resources,
    after,
    get brokenBecause () { return findBrokenReason(leased, rights, onlyReads) },
    runSingle: async (scope, statement, mayAbandon) => {
      const position = statement.access === 'read' ? requiredPosition(context, leased) : undefined
      const options = optionsOf(scope, mayAbandon)
      const maySend = (): boolean => rights.maySend(statement.access === 'read')
      const timed = await rights.whileRunning(async () =>
        await runStatement(statement, scope.values, position, options, maySend)).finally(releaseSlot)
      lease.release()
      return withEpoch(timed)
    },
    begin,
    step: runOpenStep,
    release: lease.release,
    discard: lease.discard,
    rollBack: async () => await rollBackOn(lease),
    queryLogEnd: async (scope) => {
      const timed = await rights.whileRunning(async () =>
        await runCommand({ type: 'begin', readOnly: false }, optionsOf(scope, true))).finally(releaseSlot)
      void rollBackOn(lease)
      return withEpoch(timed)
    }
  }
}
