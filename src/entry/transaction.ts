/** One transaction of a caller. It begins at an upstream with its first statement and stays on that connection. */
import { RequestError, toRequestError } from '../core/errors/index.ts'
import { pause, TIMED_OUT, within } from '../core/time/deadline.ts'
import type { Route, StatementAnswer, UpstreamCommand } from '../ports/index.ts'
import { verdictOf } from '../ports/index.ts'
import { NOT_RUN_PAUSE_MS, READ_ATTEMPTS, ROLLBACK_MS } from './consts.ts'
import { holds, leasePrimary } from './primary-access.ts'
import { leaseForRead, noteLag, recordProof, runOptions, type ReadLease, type ReadPlace } from './reads.ts'
import { runCommand, runWork, type TimedAnswer } from './run-statement.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

/** Tries of a statement inside a transaction that the upstream did not run. */
const STATEMENT_TRIES = 4

/** Options of {@link createTransaction}. */
export interface TransactionOptions {
  context: EntryContext
  route: Route
  readOnly: boolean
  /** Where a transaction that only reads may run. */
  place: ReadPlace
  /** Time for which it may rest, in milliseconds. */
  idleMs: number
}

/** A transaction of a caller. */
export interface CallerTransaction {
  readonly route: Route
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
  commit: (scope: RequestScope, command: UpstreamCommand) => Promise<StatementAnswer>
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
  let at: ReadLease | undefined
  let failedBecause: string | undefined
  let wrote = false
  let running = false
  let restTimer: NodeJS.Timeout | undefined

  const leave = (): ReadLease | undefined => {
    clearTimeout(restTimer)
    const left = at
    at = undefined
    return left
  }
  const rollBackNow = (): void => {
    const left = leave()
    if (left !== undefined) {
      void rollBackAt(left)
    }
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
    if (at.lease.connection.closed) {
      at.lease.discard()
      at = undefined
      failedBecause = 'its connection was lost'
      throw lost(failedBecause)
    }
    if (at.right !== undefined && !readOnlyElsewhere(at) && !holds(context, route.group, at.right)) {
      fail('the primary has changed')
      throw lost('the primary has changed')
    }
  }
  const readOnlyElsewhere = ({ after }: ReadLease): boolean => readOnly && after !== undefined

  const beginAt = async (scope: RequestScope, chosen: ReadLease): Promise<TimedAnswer> => {
    const command: UpstreamCommand = { type: 'begin', readOnly: readOnly && chosen.after !== undefined, after: chosen.after }
    return await runCommand(command, runOptions(context, chosen, scope, true))
  }
  /** Begins at an upstream; a begin that fails has kept nothing, so it is tried elsewhere. */
  const begin = async (scope: RequestScope): Promise<ReadLease> => {
    const tried = new Set<string>()
    for (;;) {
      const chosen = readOnly
        ? await leaseForRead(context, scope, place, tried)
        : await leasePrimary(context, scope)
      try {
        const timed = await beginAt(scope, chosen)
        recordProof(context, scope.group, chosen.right, timed)
        noteLag(chosen, timed.answer)
        if (timed.answer.failure === undefined) {
          return chosen
        }
        chosen.lease.release()
        tried.add(chosen.known.upstream)
        context.logger.log('info', 'transaction.begin-repeated', {
          id: scope.requestId, group: scope.group, upstream: chosen.known.upstream, reason: timed.answer.failure.kind
        })
        if (scope.attempts >= READ_ATTEMPTS) {
          throw new RequestError('not-run', 'NoUpstream', {
            group: scope.group, reason: timed.answer.failure.kind, retryAfterMs: NOT_RUN_PAUSE_MS
          })
        }
        await pause(NOT_RUN_PAUSE_MS)
      } catch (thrown) {
        const error = toRequestError(thrown, 'not-run', true)
        tried.add(chosen.known.upstream)
        if (error.entry === 'NoUpstream' || scope.deadline.passed || scope.attempts >= READ_ATTEMPTS) {
          throw error
        }
      }
    }
  }
  const runPinned = async (
    scope: RequestScope, run: (chosen: ReadLease) => Promise<TimedAnswer>
  ): Promise<StatementAnswer> => {
    checkUsable()
    const chosen = at ?? await begin(scope)
    if (failedBecause !== undefined) {
      void rollBackAt(chosen)
      throw lost(failedBecause)
    }
    at = chosen
    clearTimeout(restTimer)
    for (let tries = 1; ; tries++) {
      running = true
      const timed = await run(chosen).finally(() => { running = false })
      recordProof(context, scope.group, chosen.right, timed)
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
    get failed () { return failedBecause !== undefined },
    get failedBecause () { return failedBecause },
    get wrote () { return wrote },
    get upstream () { return at?.known.upstream },
    execute: async (scope, work) => {
      try {
        const answer = await runPinned(scope, async (chosen) => {
          wrote ||= work.access === 'write'
          return await runWork(work, scope.values, undefined, runOptions(context, chosen, scope, false))
        })
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
        at?.lease.discard()
        at = undefined
        failedBecause ??= (thrown as Error).message
        throw lost(failedBecause)
      }
    },
    commit: async (scope, command) => {
      let sent = false
      try {
        const answer = await runPinned(scope, async (chosen) => {
          sent = true
          return await runCommand(command, runOptions(context, chosen, scope, false))
        })
        const left = leave()
        if (answer.failure === undefined && answer.state === 'idle') {
          left?.lease.release()
        } else if (left !== undefined) {
          await rollBackAt(left)
        }
        return answer
      } catch (thrown) {
        leave()?.lease.discard()
        throw toRequestError(thrown, sent && wrote ? 'may-have-run' : 'not-run', !(sent && wrote))
      }
    },
    rollBack: () => fail('it was rolled back'),
    abort: fail
  }
}

/** Rolls back and gives the connection back; a rollback that does not succeed closes it, which rolls back too. */
async function rollBackAt ({ lease }: ReadLease): Promise<void> {
  try {
    const answer = await within(lease.connection.run({ type: 'rollback' }), ROLLBACK_MS)
    if (answer === TIMED_OUT || answer.failure !== undefined || answer.state !== 'idle') {
      lease.discard()
      return
    }
    lease.release()
  } catch {
    // The connection is gone, and the transaction with it; nobody waits for this answer.
    lease.discard()
  }
}
