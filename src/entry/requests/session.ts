/** One caller's session: takes its requests one after the other, and dispatches them by the type of the statement. */
import { RequestError } from '../../core/errors/index.ts'
import type {
  CallerHandler, CallerLink, CallerRequest, CallerStatement, DesiredState, StatementAnswer
} from '../ports/index.ts'
import { doneAnswer, failureAnswer, failureOf } from './answers.ts'
import { reportRequest } from './request-log.ts'
import { MAXIMUM_NAMES } from './session-names.ts'
import { createSessionState, type SessionState } from './session-state.ts'
import { createSessionTransaction, type SessionTransaction } from './session-transaction.ts'
import { serveSingle } from './single-statement.ts'
import type { DataWork, EntryContext } from './types.ts'
import { RETRY_AFTER_MS } from './wait-rules.ts'

/**
 * Time that a request waits for the first desired state of a process that has just started, in milliseconds: some reads
 * of the store. Without it callers would be told after a loss of power that their database is not declared.
 */
const STATE_WAIT_MS = 400

/** Options of {@link createSession}. */
interface SessionOptions {
  context: EntryContext
  link: CallerLink
  desiredState: () => DesiredState | undefined
  /** Waits for the first desired state, for a bounded time; returns whether there is one. */
  stateKnown: (timeoutMs: number) => Promise<boolean>
  /** Called at each request's end. */
  onDone: (outcome: string, durationMs: number) => void
  onClose: () => void
}

/** A caller's session. */
export interface Session extends CallerHandler {
  readonly busy: boolean
  /** Time without a request or an open transaction, in milliseconds. */
  readonly idleMs: number
  readonly inTransaction: boolean
  /** Ends the open transaction from this side. */
  abortTransaction: (reason: string) => void
  /** Ends the connection, after the answer in progress. */
  end: () => void
}

/** Serves a type of statement; `id` is the id of the request. */
type StatementHandlers = {
  [Type in CallerStatement['type']]:
  (statement: Extract<CallerStatement, { type: Type }>, id: string) => Promise<StatementAnswer> | StatementAnswer
}

/** What each type of statement does in a session. */
function createHandlers (session: SessionState, transaction: SessionTransaction): StatementHandlers {
  const { names } = session
  const run = async (work: () => DataWork): Promise<StatementAnswer> =>
    transaction.refuseIfFailed() ?? (transaction.isOpen
      ? await transaction.execute(work())
      : await serveSingle(session, work()))
  const addName = (add: () => boolean): StatementAnswer => {
    const refusal = transaction.refuseIfFailed()
    if (refusal !== undefined) {
      return refusal
    }
    return add()
      ? doneAnswer(transaction.state)
      : failureAnswer('too-large', `a session may have ${MAXIMUM_NAMES} names`, transaction.state)
  }
  return {
    begin: async ({ readOnly }) => await transaction.begin(readOnly),
    commit: async ({ text }, id) => await transaction.commit(id, text),
    rollback: () => transaction.rollBack(),
    data: async (statement, id) => await run(() => names.workOf(id, statement)),
    execute: async (statement, id) => names.isPrepared(statement.name)
      ? await run(() => names.workOf(id, statement))
      : failureAnswer('unknown-statement', `no statement '${statement.name}' is prepared`, transaction.state),
    set: ({ name, value }) => addName(() => names.setValue(name, value)),
    prepare: ({ name, prepared }) => addName(() => names.prepare(name, prepared)),
    deallocate: ({ name }) => {
      names.deallocate(name)
      return doneAnswer(transaction.state)
    },
    malformed: ({ reason }) => failureAnswer('malformed', reason, transaction.state)
  }
}

/** A process that has just started does not know yet which databases are declared. */
async function awaitDesiredState ({ link, desiredState, stateKnown }: SessionOptions): Promise<void> {
  if (desiredState() === undefined && !await stateKnown(STATE_WAIT_MS)) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: link.database, reason: 'no desired state is known here yet', retryAfterMs: RETRY_AFTER_MS
    })
  }
}

/** Whether an upstream has run the statement with success; an answer of this process shows nothing of its room. */
function isServed ({ signature, failure }: StatementAnswer): boolean {
  return signature !== undefined && failure === undefined
}

/**
 * Creates a session.
 *
 * @param options - the caller and the rest of the process
 * @returns the session
 */
export function createSession (options: SessionOptions): Session {
  const { context, link } = options
  const session = createSessionState(options)
  const transaction = createSessionTransaction(session)
  const handlers = createHandlers(session, transaction)
  let busy = false
  let closed = false
  let idleSince = performance.now()

  const answerOf = async ({ id, statement }: CallerRequest): Promise<StatementAnswer> => {
    try {
      await awaitDesiredState(options)
      const handle = handlers[statement.type] as (statement: CallerStatement, id: string) => Promise<StatementAnswer>
      return await handle(statement, id)
    } catch (thrown) {
      return { rows: [], failure: failureOf(thrown, true), state: transaction.state }
    }
  }
  const serve = async (request: CallerRequest): Promise<StatementAnswer> => {
    const startedAt = performance.now()
    busy = true
    session.trace = {}
    const answer = await answerOf(request)
    busy = false
    idleSince = performance.now()
    if (isServed(answer)) {
      // Counted on the caller's host, which takes the retries: a home repeats nothing for the hosts that ask it.
      context.budget.deposit()
    }
    if (answer.state === 'failed') {
      transaction.failureReported()
    }
    const durationMs = performance.now() - startedAt
    options.onDone(answer.failure?.kind ?? 'done', durationMs)
    reportRequest(context, link.database, request, answer, session.trace, durationMs)
    if (closed) {
      transaction.abandon()
    }
    return answer
  }
  return {
    get busy () { return busy },
    get idleMs () { return busy || transaction.isOpen ? 0 : performance.now() - idleSince },
    get inTransaction () { return transaction.isOpen },
    serve,
    close: () => {
      closed = true
      transaction.abandon()
      if (!busy) {
        transaction.forget()
      }
      options.onClose()
    },
    abortTransaction: transaction.abort,
    end: link.end
  }
}
