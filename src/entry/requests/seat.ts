/**
 * A place at an upstream where one statement or one transaction runs: on a connection of this host, or at a home of the
 * upstream that has one.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { TIMED_OUT, within } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { PrimaryLease } from '../leadership/index.ts'
import type { ConnectionLease, UsedUpstream } from '../pools/index.ts'
import type { UpstreamCommand } from '../ports/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { ROLLBACK_MS } from './consts.ts'
import { runCommand, runWork, type RunOptions, type TimedAnswer } from './run-statement.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Priority of the steps of transactions that are open: before all others. */
const OPEN_PRIORITY = -1

/** A step of a transaction. */
export type TransactionStep =
  | { type: 'work', work: DataWork }
  | { type: 'commit', requestId: string, text: string }

/** What became of the beginning of a transaction, and of its first step. */
export interface Begun {
  /** Answer to the beginning; with a failure nothing was begun, and the seat has been given back. */
  begin: TimedAnswer
  /** Answer to the first step. */
  first?: TimedAnswer
  /** Why the first step has no answer. */
  lost?: RequestError
}

/** A place at an upstream. */
export interface Seat {
  readonly known: KnownUpstream
  readonly used: UsedUpstream
  /** Position that the upstream's log must have reached; undefined where only the primary will do. */
  readonly after?: LogPosition
  /** Host that has the connection; undefined when it is this one. */
  readonly home?: string
  /** Why the transaction that is open here cannot go on; undefined while it can. */
  readonly brokenBecause: string | undefined
  /**
   * Runs a single statement and gives the place back.
   *
   * @param scope - the request
   * @param work - the statement
   * @param mayLeave - whether it may be given up while it may be running
   * @returns the answer
   * @throws RequestError with the verdict on whether it may have run
   */
  runSingle: (scope: RequestScope, work: DataWork, mayLeave: boolean) => Promise<TimedAnswer>
  /**
   * Begins a transaction and runs its first step.
   *
   * @returns what became of both
   * @throws RequestError when it has not begun; the place has been given back
   */
  begin: (scope: RequestScope, readOnly: boolean, step: TransactionStep) => Promise<Begun>
  /**
   * Runs a further step of the transaction that is open here.
   *
   * @returns the answer
   * @throws RequestError; the place has been given back
   */
  step: (scope: RequestScope, step: TransactionStep) => Promise<TimedAnswer>
  /** Gives the place back after a transaction has ended. */
  release: () => void
  /** Gives the place up: what it carries is in doubt. */
  discard: () => void
  /** Rolls back what is open and gives the place back; never rejects. */
  rollBack: () => Promise<void>
}

/** A connection of this host to an upstream, and what makes it fit. */
interface LeasedUpstream {
  known: KnownUpstream
  used: UsedUpstream
  lease: ConnectionLease
  /** Ends the turn that the connection's user has at the upstream. */
  leave: () => void
  after?: LogPosition
  /** The right under which this host works at the primary; undefined at a replica. */
  right?: PrimaryLease
}

/** A place on a connection of this host. */
export interface LocalSeat extends Seat {
  /**
   * Has the primary say where its log ends, and gives the place back. A transaction is begun and rolled back, which
   * takes no slot, and which an upstream that has lost the lead refuses.
   *
   * @returns the answer
   * @throws RequestError
   */
  proveLead: (scope: RequestScope) => Promise<TimedAnswer>
}

/**
 * Says whether a right is still good; asked right before each sending.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param right - the right under which the work began
 * @returns whether it is
 */
export function holds ({ leadership }: EntryContext, group: string, right: PrimaryLease): boolean {
  return leadership.of(group)?.epoch === right.epoch
}

/**
 * Makes a seat of a connection of this host.
 *
 * @param context - the rest of the process
 * @param leased - the connection
 * @returns the seat
 */
export function createLocalSeat (
  context: EntryContext, { known, used, lease, leave, after, right }: LeasedUpstream
): LocalSeat {
  let onlyReads = false
  const optionsOf = (scope: RequestScope, mayLeave: boolean): RunOptions => ({
    used,
    lease,
    deadline: scope.deadline,
    onTime: context.measures.upstream,
    onSilence: () => {
      context.leadership.suspect(known.upstream)
      return mayLeave && used.health.unreachableSince !== undefined
    }
  })
  /**
   * What a primary must have to be the one that the right is for: the end of its log, as it has told it. One that has
   * started again under its name holds nothing, and its row in the directory comes later: 12 of 12 reads that reached
   * it before that lacked what had been acknowledged.
   */
  const mustHave = (): LogPosition | undefined => {
    if (after !== undefined || right === undefined) {
      return after
    }
    const proofs = context.freshness.of(known.group)
    return proofs.epoch === right.epoch ? proofs.newest : undefined
  }
  const proven = (timed: TimedAnswer): TimedAnswer => ({ ...timed, epoch: right?.epoch })
  const maySend = (): boolean => after !== undefined || (right !== undefined && holds(context, known.group, right))
  const runStep = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    const options = optionsOf(scope, false)
    const timed = step.type === 'work'
      ? await runWork(step.work, scope.values, undefined, options)
      : await runCommand(step, options)
    return proven(timed)
  }
  const runFirst = async (begin: TimedAnswer, scope: RequestScope, step: TransactionStep): Promise<Begun> => {
    try {
      return { begin, first: await runStep(scope, step) }
    } catch (thrown) {
      return { begin, lost: toRequestError(thrown, 'may-have-run') }
    }
  }
  const rollBack = async (): Promise<void> => {
    try {
      const answer = await within(lease.connection.run({ type: 'rollback' }), ROLLBACK_MS)
      const isDone = answer !== TIMED_OUT && answer.failure === undefined && answer.state === 'idle'
      isDone ? lease.release() : lease.discard()
    } catch {
      // The connection is gone, and the transaction with it; nobody waits for this answer.
      lease.discard()
    }
  }
  const brokenBecause = (): string | undefined => {
    if (lease.connection.closed) {
      return 'its connection was lost'
    }
    const needsRight = right !== undefined && !(onlyReads && after !== undefined)
    return needsRight && !holds(context, known.group, right) ? 'the primary has changed' : undefined
  }
  return {
    known,
    used,
    after,
    get brokenBecause () { return brokenBecause() },
    runSingle: async (scope, work, mayLeave) => {
      const position = work.access === 'read' ? mustHave() : undefined
      const timed = await runWork(work, scope.values, position, optionsOf(scope, mayLeave), maySend).finally(leave)
      lease.release()
      return proven(timed)
    },
    begin: async (scope, readOnly, step) => {
      onlyReads = readOnly
      const command: UpstreamCommand = { type: 'begin', readOnly: readOnly && after !== undefined, after: mustHave() }
      try {
        const begin = proven(await runCommand(command, optionsOf(scope, true)))
        if (begin.answer.failure !== undefined) {
          lease.release()
          return { begin }
        }
        return await runFirst(begin, scope, step)
      } finally {
        leave()
      }
    },
    step: async (scope, step) => {
      // What is open holds a connection and locks, so it goes first.
      const waitMs = scope.deadline.leftMs
      const leaveStep = await used.queue.enter({ priority: OPEN_PRIORITY, costMs: scope.costMs, waitMs })
      try {
        // The right may have gone while it waited for its turn.
        const reason = brokenBecause()
        if (reason !== undefined) {
          throw new RequestError('not-run', 'TransactionLost', { reason })
        }
        return await runStep(scope, step)
      } finally {
        leaveStep()
      }
    },
    release: lease.release,
    discard: lease.discard,
    rollBack,
    proveLead: async (scope) => {
      const timed = await runCommand({ type: 'begin', readOnly: false }, optionsOf(scope, true)).finally(leave)
      void rollBack()
      return proven(timed)
    }
  }
}
