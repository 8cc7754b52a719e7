/**
 * Owns the requests of a caller's connection from the time they are read until they have an answer, and serves them one
 * at a time in their order. To end the connection is its decision, so none ends with a request that has no answer.
 */
import type { CallerHandler, CallerLink, CallerRequest, StatementAnswer } from '../ports/index.ts'
import { failureAnswer } from './answers.ts'
import type { Session } from './session.ts'

/** A request without an answer. */
interface UnservedRequest {
  request: CallerRequest
  answer: (answer: StatementAnswer) => void
}

/** Options of {@link createCallerRequests}. */
interface CallerRequestsOptions {
  session: Pick<
    Session, 'serve' | 'refuse' | 'interrupt' | 'idleMs' | 'inTransaction' | 'abortTransaction' | 'close'
  >
  link: Pick<CallerLink, 'end' | 'estimateReadMs'>
  /** Time until this host closes the connection, in milliseconds; Infinity while it does not stop. */
  remainingMs: () => number
  onClose: () => void
}

/** The requests of a connection. */
export interface CallerRequests extends CallerHandler {
  /** Number of requests without an answer. */
  readonly unanswered: number
  /** Time without a request or an open transaction, in milliseconds. */
  readonly idleMs: number
  readonly inTransaction: boolean
  /** Rolls back the open transaction; the caller's next statement fails with the reason. */
  abortTransaction: (reason: string) => void
  /** Ends the connection after the next answer outside a transaction; no transaction begins any more. */
  endAfterAnswer: () => void
  /** Answers all requests at once, and ends the connection. */
  endNow: () => void
}

function isRead ({ statement }: CallerRequest): boolean {
  return statement.type === 'data' && statement.access === 'read'
}

/**
 * Creates the owner of a connection's requests.
 *
 * @param options - the session that serves them, and the connection
 * @returns the owner
 */
export function createCallerRequests (
  { session, link, remainingMs, onClose }: CallerRequestsOptions
): CallerRequests {
  const waiting: UnservedRequest[] = []
  let isServing = false
  let endsAfterAnswer = false
  let isEnded = false

  const end = (): void => {
    isEnded = true
    link.end()
  }
  const mayServe = ({ statement }: CallerRequest): boolean =>
    !isEnded && !(endsAfterAnswer && statement.type === 'begin' && !session.inTransaction)
  const serve = async (request: CallerRequest): Promise<StatementAnswer> => {
    if (!mayServe(request)) {
      return session.refuse(request)
    }
    const answer = await session.serve(request)
    // A read leaves nothing behind, so its caller can have the answer whole from another host.
    const isRepeatable = isRead(request) && answer.failure === undefined && !session.inTransaction
    return isRepeatable && link.estimateReadMs(answer) > remainingMs()
      ? failureAnswer('aborted', 'this host is stopping, and the answer is too large to be read in time', 'idle')
      : answer
  }
  const serveWaiting = async (): Promise<void> => {
    isServing = true
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      next.answer(await serve(next.request))
      if (endsAfterAnswer && !session.inTransaction) {
        end()
      }
    }
    isServing = false
  }
  return {
    get unanswered () { return waiting.length + (isServing ? 1 : 0) },
    get idleMs () { return isServing ? 0 : session.idleMs },
    get inTransaction () { return session.inTransaction },
    serve: async (request) => await new Promise((resolve) => {
      waiting.push({ request, answer: resolve })
      if (!isServing) {
        void serveWaiting()
      }
    }),
    abortTransaction: session.abortTransaction,
    endAfterAnswer: () => { endsAfterAnswer = true },
    endNow: () => {
      end()
      session.interrupt()
    },
    close: () => {
      isEnded = true
      session.close()
      onClose()
    }
  }
}
