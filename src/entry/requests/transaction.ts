/** One transaction of a caller. It begins at an upstream with its first statement and stays on that connection. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Organisation, Route, StatementAnswer } from '../ports/index.ts'
import { verdictOf } from '../ports/index.ts'
import { NOT_RUN_PAUSE_MS, READ_ATTEMPTS } from './consts.ts'
import { seatAtPrimary } from './primary-access.ts'
import { noteAnswer, noteLag, seatForRead, type ReadPlace } from './reads.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { Begun, Seat, TransactionStep } from './seat.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Tries of a statement inside a transaction that the upstream did not run. */
const STATEMENT_TRIES = 4

/** Options of {@link createTransaction}. */
interface TransactionOptions {
  context: EntryContext
  route: Route
  /** On whose behalf it runs. */
  organisation: Organisation
  readOnly: boolean
  /** Where a transaction that only reads may run. */
  place: ReadPlace
  /** Time for which it may rest, in milliseconds. */
  idleMs: number
}

/** A transaction of a caller. */
export interface CallerTransaction {
  readonly route: Route
  readonly organisation: Organisation
  /** Whether it has begun at an upstream. */
  readonly begun: boolean
  /** Whether it can only be rolled back. */
  readonly failed: boolean
  readonly failedBecause: string | undefined
  /** Whether it has written anything that a commit would keep. */
  readonly wrote: boolean
  readonly upstream: string | undefined
  /**
   * Runs a statement in it.
   *
   * @returns the upstream's answer
   * @throws RequestError; the transaction has failed
   */
  execute: (scope: RequestScope, work: DataWork) => Promise<StatementAnswer>
  /**
   * Commits it. Sent once.
   *
   * @returns the upstream's answer
   * @throws RequestError with the verdict on whether it was committed
   */
  commit: (scope: RequestScope, text: string) => Promise<StatementAnswer>
  /** Rolls it back; the caller need not wait. */
  rollBack: () => void
  /** Ends it from this side: the next statement is refused. */
  abort: (reason: string) => void
}

/**
 * Creates a transaction; nothing is sent before its first statement.
 *
 * @param options - route and limits
 * @returns the transaction
 */
export function createTransaction (options: TransactionOptions): CallerTransaction {
  const { context, route, readOnly, place } = options
  let at: Seat | undefined
  let failedBecause: string | undefined
  let wrote = false
  let begun = false
  let running = false
  let restTimer: NodeJS.Timeout | undefined

  const leave = (): Seat | undefined => {
    clearTimeout(restTimer)
    const left = at
    at = undefined
    return left
  }
  const rollBackNow = (): void => {
    void leave()?.rollBack()
  }
  /** A statement in progress ends first: its connection takes one command at a time. */
  const fail = (reason: string): void => {
    failedBecause ??= reason
    if (!running) {
      rollBackNow()
    }
  }
  const rest = (): void => {
    clearTimeout(restTimer)
    restTimer = setTimeout(() => fail(`it rested for more than ${options.idleMs} ms`), options.idleMs)
  }
  const lost = (reason: string): RequestError => new RequestError('not-run', 'TransactionLost', { reason })
  const checkUsable = (): void => {
    if (failedBecause !== undefined) {
      throw lost(failedBecause)
    }
    if (at === undefined) {
      return
    }
    const { brokenBecause } = at
    if (brokenBecause !== undefined) {
      fail(brokenBecause)
      throw lost(brokenBecause)
    }
  }

  /** Begins at an upstream and runs the first step; a begin that fails has kept nothing, so it is tried elsewhere. */
  const begin = async (scope: RequestScope, step: TransactionStep): Promise<TimedAnswer> => {
    const tried = new Set<string>()
    for (;;) {
      const seat = readOnly
        ? await seatForRead(context, scope, place, tried)
        : await seatAtPrimary(context, scope)
      const name = seat.known.upstream
      try {
        const begun = await seat.begin(scope, readOnly, step)
        noteAnswer(context, scope, begun.begin)
        noteLag(seat, begun.begin.answer)
        const { failure } = begun.begin.answer
        if (failure === undefined) {
          return takeBegun(seat, begun)
        }
        tried.add(name)
        noteRepeated(scope, name, failure.kind)
        if (scope.attempts >= READ_ATTEMPTS) {
          throw new RequestError('not-run', 'NoUpstream', {
            group: scope.group, reason: failure.kind, retryAfterMs: NOT_RUN_PAUSE_MS
          })
        }
      } catch (thrown) {
        if (thrown instanceof FirstStepLost) {
          throw thrown.error
        }
        const error = toRequestError(thrown, 'not-run', true)
        if (error.entry !== 'PeerUnavailable') {
          tried.add(name)
        }
        const isFinal = error.entry === 'Overloaded' || (error.entry === 'NoUpstream' && seat.home === undefined)
        if (isFinal || scope.deadline.passed || scope.attempts >= READ_ATTEMPTS) {
          throw error
        }
        noteRepeated(scope, name, error.message)
      }
      await pause(NOT_RUN_PAUSE_MS)
    }
  }
  const takeBegun = (seat: Seat, { first, lost: missing }: Begun): TimedAnswer => {
    at = seat
    begun = true
    if (first === undefined) {
      throw new FirstStepLost(missing!)
    }
    return first
  }
  const noteRepeated = ({ requestId: id, group, home }: RequestScope, upstream: string, reason: string): void =>
    context.logger.log('info', 'transaction.begin-repeated', { id, group, upstream, home, reason })

  const runPinned = async (scope: RequestScope, step: TransactionStep): Promise<StatementAnswer> => {
    checkUsable()
    clearTimeout(restTimer)
    for (let tries = 1; ; tries++) {
      running = true
      const timed = await (at === undefined ? begin(scope, step) : at.step(scope, step))
        .finally(() => { running = false })
      noteAnswer(context, scope, timed)
      const { failure, state } = timed.answer
      const again = failure !== undefined && verdictOf(failure.kind) === 'not-run' && state === 'open'
      if (!again || tries >= STATEMENT_TRIES || scope.deadline.passed) {
        return timed.answer
      }
      await pause(NOT_RUN_PAUSE_MS)
      checkUsable()
    }
  }

  return {
    route,
    organisation: options.organisation,
    get begun () { return begun },
    get failed () { return failedBecause !== undefined },
    get failedBecause () { return failedBecause },
    get wrote () { return wrote },
    get upstream () { return at?.known.upstream },
    execute: async (scope, work) => {
      try {
        wrote ||= work.access === 'write'
        const answer = await runPinned(scope, { type: 'work', work })
        if (failedBecause !== undefined) {
          rollBackNow()
        } else if (answer.state === 'open') {
          rest()
        } else {
          fail(`the upstream ended it: ${answer.failure?.kind ?? 'unknown'}`)
        }
        return answer
      } catch (thrown) {
        // Without its commit nothing of a transaction is kept, whatever became of the statement.
        leave()?.discard()
        failedBecause ??= (thrown as Error).message
        throw lost(failedBecause)
      }
    },
    commit: async (scope, text) => {
      const wasOpen = at !== undefined
      try {
        const answer = await runPinned(scope, { type: 'commit', requestId: scope.requestId, text })
        const left = leave()
        if (answer.failure === undefined && answer.state === 'idle') {
          left?.release()
        } else {
          await left?.rollBack()
        }
        return answer
      } catch (thrown) {
        leave()?.discard()
        const mayBeKept = wasOpen && wrote
        throw toRequestError(thrown, mayBeKept ? 'may-have-run' : 'not-run', !mayBeKept)
      }
    },
    rollBack: () => fail('it was rolled back'),
    abort: fail
  }
}

/** The transaction has begun, and its first step has no answer. */
class FirstStepLost extends Error {
  readonly error: RequestError

  constructor (error: RequestError) {
    super(error.message)
    this.error = error
  }
}
