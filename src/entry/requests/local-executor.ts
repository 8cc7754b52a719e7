/** Executes statements on a leased connection of this host. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { TIMED_OUT, within } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { PrimaryLease } from '../leadership/index.ts'
import type { ConnectionLease, UsedUpstream } from '../pools/index.ts'
import type { UpstreamCommand } from '../ports/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { runCommand, runWork, type RunOptions, type TimedAnswer } from './run-statement.ts'
import { ROLLBACK_MS, type Begun, type StatementExecutor, type TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Priority of the steps of transactions that are open: before all others, which start at 0. */
const OPEN_PRIORITY = -1

/** What an executor on this host needs from the rest of the process. */
type LocalContext = Pick<EntryContext, 'leadership' | 'freshness' | 'measures'>

/** A connection of this host to an upstream, and the conditions of its use. */
interface LeasedUpstream {
  known: KnownUpstream
  used: UsedUpstream
  lease: ConnectionLease
  /** Ends the turn that the connection's user has at the upstream. */
  leave: () => void
  after?: LogPosition
  /** The lease under which this host works at the primary; undefined at a replica. */
  primaryLease?: PrimaryLease
}

/** An executor on a connection of this host. */
export interface LocalExecutor extends StatementExecutor {
  /**
   * Asks the primary where its log ends, and releases the executor. A transaction is begun and rolled back, which
   * takes no slot, and which an upstream that has lost the lead refuses.
   *
   * @param scope - the request
   * @returns the answer
   * @throws RequestError
   */
  proveLead: (scope: RequestScope) => Promise<TimedAnswer>
}

/**
 * Reports whether a primary lease is still valid; checked right before each sending.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param primaryLease - the lease under which the work began
 * @returns whether it is
 */
export function holdsLease (
  { leadership }: Pick<EntryContext, 'leadership'>, group: string, primaryLease: PrimaryLease
): boolean {
  return leadership.leaseOf(group)?.epoch === primaryLease.epoch
}

/**
 * Returns the position that an upstream's log must have reached. For the primary of a lease it is the end of its log,
 * as it last reported it: one that has started again under its name holds nothing, and its row in the directory comes
 * later. Reads that reach it before that would lack what has been acknowledged.
 */
function requiredPosition (
  { freshness }: LocalContext, { known, after, primaryLease }: LeasedUpstream
): LogPosition | undefined {
  if (after !== undefined || primaryLease === undefined) {
    return after
  }
  const proofs = freshness.of(known.group)
  return proofs.epoch === primaryLease.epoch ? proofs.newest : undefined
}

function maySend (context: LocalContext, { known, after, primaryLease }: LeasedUpstream): boolean {
  return after !== undefined || (primaryLease !== undefined && holdsLease(context, known.group, primaryLease))
}

function runOptionsOf (
  { leadership, measures }: LocalContext, { known, used, lease }: LeasedUpstream, scope: RequestScope,
  mayAbandon: boolean
): RunOptions {
  return {
    used,
    lease,
    deadline: scope.deadline,
    onTime: measures.upstream,
    onSilence: () => {
      leadership.suspect(known.upstream)
      return mayAbandon && used.health.unreachableSince !== undefined
    }
  }
}

async function rollBackOn (lease: ConnectionLease): Promise<void> {
  try {
    const answer = await within(lease.connection.run({ type: 'rollback' }), ROLLBACK_MS)
    const isDone = answer !== TIMED_OUT && answer.failure === undefined && answer.state === 'idle'
    isDone ? lease.release() : lease.discard()
  } catch {
    // The connection is gone, and the transaction with it; nobody waits for this answer.
    lease.discard()
  }
}

/**
 * Returns why a transaction cannot go on here. One that only reads at a known position goes on at an upstream that is
 * not the primary any longer.
 */
function brokenReason (context: LocalContext, leased: LeasedUpstream, onlyReads: boolean): string | undefined {
  const { known, lease, after, primaryLease } = leased
  if (lease.connection.closed) {
    return 'its connection was lost'
  }
  const needsLease = primaryLease !== undefined && !(onlyReads && after !== undefined)
  return needsLease && !holdsLease(context, known.group, primaryLease) ? 'the primary has changed' : undefined
}

/**
 * Creates an executor on a connection of this host.
 *
 * @param context - the rest of the process
 * @param leased - the connection
 * @returns the executor
 */
export function createLocalExecutor (context: LocalContext, leased: LeasedUpstream): LocalExecutor {
  const { known, used, lease, leave, after, primaryLease } = leased
  let onlyReads = false
  const optionsOf = (scope: RequestScope, mayAbandon: boolean): RunOptions =>
    runOptionsOf(context, leased, scope, mayAbandon)
  const withEpoch = (timed: TimedAnswer): TimedAnswer => ({ ...timed, epoch: primaryLease?.epoch })
  const runStep = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    const options = optionsOf(scope, false)
    const timed = step.type === 'work'
      ? await runWork(step.work, scope.values, undefined, options)
      : await runCommand(step, options)
    return withEpoch(timed)
  }
  const runFirst = async (begin: TimedAnswer, scope: RequestScope, step: TransactionStep): Promise<Begun> => {
    try {
      return { begin, first: await runStep(scope, step) }
    } catch (thrown) {
      return { begin, lost: toRequestError(thrown, 'may-have-run') }
    }
  }
  const begin = async (scope: RequestScope, readOnly: boolean, step: TransactionStep): Promise<Begun> => {
    onlyReads = readOnly
    const command: UpstreamCommand = {
      type: 'begin', readOnly: readOnly && after !== undefined, after: requiredPosition(context, leased)
    }
    try {
      const begun = withEpoch(await runCommand(command, optionsOf(scope, true)))
      if (begun.answer.failure !== undefined) {
        lease.release()
        return { begin: begun }
      }
      return await runFirst(begun, scope, step)
    } finally {
      leave()
    }
  }
  const runOpenStep = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    // An open transaction occupies a connection and locks, so it goes first.
    const waitMs = scope.deadline.leftMs
    const leaveStep = await used.queue.enter({ priority: OPEN_PRIORITY, costMs: scope.costMs, waitMs })
    try {
      // The lease may have expired while the step waited for its turn.
      const reason = brokenReason(context, leased, onlyReads)
      if (reason !== undefined) {
        throw new RequestError('not-run', 'TransactionLost', { reason })
      }
      return await runStep(scope, step)
    } finally {
      leaveStep()
    }
  }
  return {
    known,
    used,
    after,
    get brokenBecause () { return brokenReason(context, leased, onlyReads) },
    runSingle: async (scope, work, mayAbandon) => {
      const position = work.access === 'read' ? requiredPosition(context, leased) : undefined
      const options = optionsOf(scope, mayAbandon)
      const timed = await runWork(work, scope.values, position, options, () => maySend(context, leased)).finally(leave)
      lease.release()
      return withEpoch(timed)
    },
    begin,
    step: runOpenStep,
    release: lease.release,
    discard: lease.discard,
    rollBack: async () => await rollBackOn(lease),
    proveLead: async (scope) => {
      const timed = await runCommand({ type: 'begin', readOnly: false }, optionsOf(scope, true)).finally(leave)
      void rollBackOn(lease)
      return withEpoch(timed)
    }
  }
}
