/** Runs the commands of an executor on its leased connection, and decides which answers count. */
import { RequestError } from '../../core/errors/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { PrimaryLease } from '../leadership/index.ts'
import type { ConnectionLease, UpstreamResources } from '../pools/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { PrimaryRights } from './primary-rights.ts'
import { runCommand, runCommit, runStatement, type RunOptions, type TimedAnswer } from './run-statement.ts'
import type { TransactionStep } from './statement-executor.ts'
import type { ExecutableStatement, EntryContext, RequestScope } from './types.ts'

/** Services that the commands need. */
export type LocalContext = Pick<EntryContext, 'leadership' | 'freshness' | 'metrics' | 'logger'>

/** A leased connection to an upstream, and the conditions under which statements may be sent on it. */
export interface LeasedUpstream {
  target: KnownUpstream
  resources: UpstreamResources
  lease: ConnectionLease
  /** Position that the upstream's log must have reached; undefined if the statements require the primary. */
  after?: LogPosition
  /** Lease of this host on the primary; undefined at a replica. */
  primaryLease?: PrimaryLease
}

const PRIMARY_CHANGED = 'the primary has changed'
const DEADLINE_PASSED = 'the time for the request had passed before it was sent'

/** Commands on a leased connection; each is a use of the primary and may end the connection's lease on failure. */
interface LeasedCommands {
  /** Begins a transaction. */
  begin: (scope: RequestScope, readOnly: boolean) => Promise<TimedAnswer>
  /** Runs a step of the open transaction. */
  step: (scope: RequestScope, step: TransactionStep) => Promise<TimedAnswer>
  /** Runs a single statement. */
  single: (scope: RequestScope, statement: ExecutableStatement, mayAbandon: boolean) => Promise<TimedAnswer>
  /** Begins a transaction that proves the end of the primary's log. */
  logEnd: (scope: RequestScope) => Promise<TimedAnswer>
  /**
   * Reason why the open transaction cannot continue, if any. A read-only transaction at a known position needs no
   * lease, so it survives a change of the primary.
   */
  readonly brokenBecause: string | undefined
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
): Omit<RunOptions, 'admit'> {
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

/**
 * Takes an answer, and logs it if it came after the lease had ended. A reported success of a write counts only while
 * the lease covers it; a read stays valid, since commits at a successor come only after the lease under which the read
 * was sent has ended.
 */
function takeAnswer (
  { logger }: LocalContext, { target: { group, upstream } }: LeasedUpstream, rights: PrimaryRights, timed: TimedAnswer,
  hasWritten: boolean
): TimedAnswer {
  const { answer: { failure }, epoch, ranMs } = timed
  const accepted = !hasWritten || failure !== undefined || rights.coversWrite
  if (epoch !== undefined && epoch !== rights.epoch) {
    const outcome = failure?.kind ?? 'done'
    logger.log('info', 'leadership.answer-after-lease', {
      group, upstream, epoch, outcome, accepted, ranMs: Math.round(ranMs)
    })
  }
  if (!accepted) {
    const reason = 'its answer came after the lease on the primary had ended'
    throw new RequestError('may-have-run', 'ConnectionLost', { upstream, reason })
  }
  return timed
}

/** Releases the connection, on which nothing was sent, and creates the error. */
function refuseNew ({ lease, target: { upstream } }: LeasedUpstream, reason: string): RequestError {
  lease.release()
  return new RequestError('not-run', 'ConnectionLost', { upstream, reason })
}

function transactionBroken (reason: string): RequestError {
  return new RequestError('not-run', 'TransactionLost', { reason })
}

/**
 * Creates the commands on a connection.
 *
 * @param context - services of the entry process
 * @param leased - the connection
 * @param rights - what may be sent on it
 * @returns the commands
 */
export function createLeasedCommands (
  context: LocalContext, leased: LeasedUpstream, rights: PrimaryRights
): LeasedCommands {
  let onlyReads = false
  let wrote = false
  /** Creates the options of a command; `refuse` creates the error if it may not be sent any more. */
  const optionsOf = (
    scope: RequestScope, mayAbandon: boolean, isRead: boolean, refuse: (reason: string) => RequestError
  ): RunOptions => ({
    ...runOptionsOf(context, leased, scope, mayAbandon),
    admit: () => {
      if (!rights.maySend(isRead)) {
        throw refuse(PRIMARY_CHANGED)
      }
      if (scope.deadline.passed) {
        throw refuse(DEADLINE_PASSED)
      }
      scope.sent = true
      return rights.epoch
    }
  })
  const refuseToBegin = (reason: string): RequestError => refuseNew(leased, reason)
  /** Runs a command as a use of the primary, and takes its answer before the use counts as finished. */
  const run = async (command: () => Promise<TimedAnswer>, hasWritten = false): Promise<TimedAnswer> =>
    await rights.whileRunning(async () => takeAnswer(context, leased, rights, await command(), hasWritten))

  return {
    begin: async (scope, readOnly) => {
      const after = requiredPosition(context, leased)
      const isAnywhere = readOnly && leased.after !== undefined
      onlyReads = readOnly
      const options = optionsOf(scope, true, readOnly, refuseToBegin)
      return await run(async () => await runCommand({ type: 'begin', readOnly: isAnywhere, after }, options))
    },
    step: async (scope, step) => {
      const options = optionsOf(scope, false, onlyReads, transactionBroken)
      if (step.type === 'commit') {
        return await run(async () => await runCommit(step, scope.values, options), wrote)
      }
      // A write in a transaction has no lasting effect before the commit.
      wrote ||= step.statement.access === 'write'
      return await run(async () => await runStatement(step.statement, scope.values, undefined, options))
    },
    single: async (scope, statement, mayAbandon) => {
      const isRead = statement.access === 'read'
      const after = isRead ? requiredPosition(context, leased) : undefined
      const options = optionsOf(scope, mayAbandon, isRead, refuseToBegin)
      return await run(async () => await runStatement(statement, scope.values, after, options), !isRead)
    },
    logEnd: async (scope) => {
      const options = optionsOf(scope, true, false, refuseToBegin)
      return await run(async () => await runCommand({ type: 'begin', readOnly: false }, options))
    },
    get brokenBecause () {
      if (leased.lease.connection.closed) {
        return 'its connection was lost'
      }
      return rights.maySend(onlyReads) ? undefined : PRIMARY_CHANGED
    }
  }
}
