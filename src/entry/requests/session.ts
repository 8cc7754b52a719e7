/** A caller's session: serves its requests in sequence and dispatches them by the type of the statement. */
import { describeThrown, RequestError } from '../../core/errors/index.ts'
import { noMemory } from '../../core/memory/no-memory.ts'
import type {
  CallerAnswer, CallerHandler, CallerLink, CallerRequest, CallerStatement, DesiredState, StatementAnswer
} from '../ports/index.ts'
import { doneAnswer, failureAnswer, failureOf } from './answers.ts'
import { reportRequest, type StateAtStart } from './request-log.ts'
import { shownName } from './session-names.ts'
import { waitAtReturn } from './return-order.ts'
import { spreadRetryMs, type ReturnQueue } from './return-queue.ts'
import { createSessionState, type SessionState } from './session-state.ts'
import { createSessionTransaction, type SessionTransaction } from './session-transaction.ts'
import { serveSingleStatement } from './single-statement.ts'
import { answerStopped, toCallerAnswer } from './stopped-answers.ts'
import type { ExecutableStatement, EntryContext, RequestScope } from './types.ts'
import { RETRY_AFTER_MS } from './wait-rules.ts'

/**
 * How long a request waits for the first desired state after the process has started, in milliseconds. Without the wait
 * callers would be told that their database is not declared.
 */
const DESIRED_STATE_WAIT_MS = 400

/** Options of {@link createSession}. */
interface SessionOptions {
  context: EntryContext
  link: CallerLink
  desiredState: () => DesiredState | undefined
  /** Time since the store confirmed the desired state, in milliseconds. */
  desiredStateAgeMs: () => number
  /** Waits for the first desired state until a timeout; returns whether one is known. */
  waitForDesiredState: (timeoutMs: number) => Promise<boolean>
  /** Orders requests while all hosts return after a loss of power. */
  returnQueue: Pick<ReturnQueue, 'isOrdering' | 'enter'>
  /** Called after each request with its outcome. */
  onDone: (outcome: string, durationMs: number) => void
  /** Called for each request that is not served, or not to its end, because this host is stopping. */
  onStopped: () => void
}

/** A caller's session. */
export interface Session extends Omit<CallerHandler, 'mayWriteOn'> {
  /** Time without a request, or a transaction that can go on, in milliseconds. */
  readonly idleMs: number
  readonly inTransaction: boolean
  /** Rolls back the open transaction; the caller's next statement fails with the reason. */
  abortTransaction: (reason: string) => void
  /** Returns the answer to a request that is not served because this host is stopping. */
  refuse: (request: CallerRequest) => StatementAnswer
  /** Answers the request in progress, if any, because this host is stopping; sends nothing more for it. */
  interrupt: () => void
}

/** Handlers by type of statement; `id` is the request id. */
type StatementHandlers = {
  [Type in CallerStatement['type']]:
  (statement: Extract<CallerStatement, { type: Type }>, id: string) => Promise<StatementAnswer> | StatementAnswer
}

function createHandlers (session: SessionState, transaction: SessionTransaction): StatementHandlers {
  const { names } = session
  const run = async (resolve: () => ExecutableStatement): Promise<StatementAnswer> =>
    transaction.refuseIfFailed() ?? (transaction.isOpen
      ? await transaction.execute(resolve())
      : await serveSingleStatement(session, resolve()))
  const addName = (add: () => void): StatementAnswer => {
    const refusal = transaction.refuseIfFailed()
    if (refusal !== undefined) {
      return refusal
    }
    try {
      add()
      return doneAnswer(transaction.state)
    } catch (thrown) {
      return failureAnswer('too-large', describeThrown(thrown), transaction.state)
    }
  }
  return {
    begin: async ({ readOnly }) => await transaction.begin(readOnly),
    commit: async ({ text }, id) => await transaction.commit(id, text),
    rollback: () => transaction.rollBack(),
    data: async (statement, id) => await run(() => names.toExecutable(id, statement)),
    execute: async (statement, id) => names.isPrepared(statement.name)
      ? await run(() => names.toExecutable(id, statement))
      : failureAnswer('unknown-statement', `no statement '${shownName(statement.name)}' is prepared`, transaction.state),
    set: ({ name, value }) => addName(() => names.setValue(name, value)),
    prepare: ({ name, prepared }) => addName(() => names.prepare(name, prepared)),
    deallocate: ({ name }) => {
      names.deallocate(name)
      return doneAnswer(transaction.state)
    },
    dropped: ({ bytes }) => {
      const refusal = transaction.refuseIfFailed()
      if (refusal !== undefined) {
        return refusal
      }
      throw noMemory(session.context.memory.budget, 'requests', 'the request', bytes)
    },
    malformed: ({ reason }) => failureAnswer('malformed', reason, transaction.state)
  }
}

function ignoreAnswer (_answer: StatementAnswer): void {}

/** Waits until a process that has just started knows which databases are declared. */
async function awaitDesiredState ({ link, desiredState, waitForDesiredState }: SessionOptions): Promise<void> {
  if (desiredState() === undefined && !await waitForDesiredState(DESIRED_STATE_WAIT_MS)) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: link.database,
      reason: 'no desired state is known here yet',
      // The callers of all hosts that start would otherwise return at the same time.
      retryAfterMs: spreadRetryMs(RETRY_AFTER_MS / 2, RETRY_AFTER_MS, DESIRED_STATE_WAIT_MS * 2)
    })
  }
}

async function executeRequest (
  options: SessionOptions, handlers: StatementHandlers, session: SessionState, isInTransaction: boolean,
  { id, statement }: CallerRequest
): Promise<StatementAnswer> {
  const { returnQueue, context: { costs }, link, desiredState } = options
  const handle = handlers[statement.type] as (statement: CallerStatement, id: string) => Promise<StatementAnswer>
  const arrivedAt = performance.now()
  session.waitedMs = 0
  await awaitDesiredState(options)
  if (!returnQueue.isOrdering || isInTransaction) {
    return await handle(statement, id)
  }
  const leave = await waitAtReturn(statement, { queue: returnQueue, costs, link, desiredState, arrivedAt })
  session.waitedMs = performance.now() - arrivedAt
  try {
    return await handle(statement, id)
  } finally {
    leave()
  }
}

/** Reports whether an upstream ran the statement successfully; only its answers carry a signature. */
function succeededAtUpstream ({ signature, failure }: StatementAnswer): boolean {
  return signature !== undefined && failure === undefined
}

function describeState ({ desiredState, desiredStateAgeMs }: SessionOptions): StateAtStart {
  return { version: desiredState()?.version, ageMs: desiredStateAgeMs() }
}

function report (
  { context, link, onDone }: SessionOptions, request: CallerRequest, answer: StatementAnswer,
  trace: SessionState['trace'], stateAtStart: StateAtStart, durationMs: number
): void {
  onDone(answer.failure?.kind ?? 'done', durationMs)
  reportRequest(context, link.database, request, answer, trace, stateAtStart, durationMs)
}

/**
 * Creates a session.
 *
 * @param options - the caller's link, the services and callbacks
 * @returns the session
 */
export function createSession (options: SessionOptions): Session {
  const { context } = options
  const session = createSessionState(options)
  const transaction = createSessionTransaction(session)
  const handlers = createHandlers(session, transaction)
  let busy = false
  let closed = false
  let answerNow = ignoreAnswer
  let idleSince = performance.now()

  const stopAnswer = (scope?: RequestScope): StatementAnswer => {
    options.onStopped()
    return answerStopped(context.host, transaction, scope)
  }
  const serve = async (request: CallerRequest): Promise<CallerAnswer> => {
    const startedAt = performance.now()
    const stateAtStart = describeState(options)
    busy = true
    session.trace = {}
    const answer = await new Promise<StatementAnswer>((resolve) => {
      answerNow = resolve
      void executeRequest(options, handlers, session, transaction.isOpen, request)
        .catch((thrown: unknown) => ({ rows: [], failure: failureOf(thrown, true), state: transaction.state }))
        .then(resolve)
    })
    busy = false
    // Keeps the answer and the request alive otherwise, while the session rests.
    answerNow = ignoreAnswer
    idleSince = performance.now()
    if (succeededAtUpstream(answer)) {
      // Only the caller's host retries statements, so only that host earns retries; a home does not.
      context.retryBudget.deposit()
    }
    if (answer.state === 'failed') {
      transaction.failureReported()
    }
    const { trace } = session
    session.trace = {}
    report(options, request, answer, trace, stateAtStart, performance.now() - startedAt)
    if (closed) {
      transaction.abandon()
      session.names.close()
    }
    return toCallerAnswer(answer, transaction, trace.scope, (outcome) =>
      context.logger.log('info', 'request.ended-early', { id: request.id, outcome }))
  }
  return {
    get idleMs () { return busy || transaction.canContinue ? 0 : performance.now() - idleSince },
    get inTransaction () { return transaction.isOpen },
    serve,
    close: () => {
      closed = true
      session.cancelWait?.()
      transaction.abandon()
      if (!busy) {
        transaction.clear()
        session.names.close()
      }
    },
    abortTransaction: transaction.abort,
    refuse: (request) => {
      const answer = stopAnswer()
      report(options, request, answer, {}, describeState(options), 0)
      return answer
    },
    interrupt: () => {
      session.isInterrupted = true
      const { scope } = session.trace
      scope?.deadline.expire()
      if (busy) {
        answerNow(stopAnswer(scope))
        session.cancelWait?.()
      }
    }
  }
}
