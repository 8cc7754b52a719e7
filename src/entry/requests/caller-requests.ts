/**
 * Owns the requests of a caller's connection from the time they are read until they have an answer, and serves them one
 * at a time in their order. To end the connection is its decision, so none ends with a request that has no answer.
 */
import { readArrivedInput } from '../../core/time/arrived-input.ts'
import { mayWriteOn } from '../../core/wire/write-rules.ts'
import type { CallerAnswer, CallerHandler, CallerLink, CallerRequest } from '../ports/index.ts'
import type { Session } from './session.ts'

/** A request without an answer. */
interface UnservedRequest {
  request: CallerRequest
  answer: (answer: CallerAnswer) => void
  /** Fails the request because of an unexpected error. */
  fail: (thrown: unknown) => void
}

/** Options of {@link createCallerRequests}. */
interface CallerRequestsOptions {
  session: Pick<
    Session, 'serve' | 'refuse' | 'interrupt' | 'idleMs' | 'inTransaction' | 'abortTransaction' | 'close'
  >
  link: Pick<CallerLink, 'end'>
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

function ignoreOutcome (_outcome: unknown): void {}

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
  const serve = async (request: CallerRequest): Promise<CallerAnswer> =>
    mayServe(request) ? await session.serve(request) : session.refuse(request)
  /** Gives an answer, and waits until it is written if the transaction may still have to be aborted in its place. */
  const giveAnswer = async (unserved: UnservedRequest, given: CallerAnswer): Promise<void> => {
    const { answer } = unserved
    // A suspended function keeps what it has used, so the request must not lead to its rows while the next one runs.
    unserved.answer = ignoreOutcome
    unserved.fail = ignoreOutcome
    if (given.state === 'idle') {
      answer(given)
    } else {
      await new Promise<void>((resolve) => answer({ ...given, onWritten: resolve }))
    }
  }
  const serveNext = async (next: UnservedRequest): Promise<void> => {
    const answer = await serve(next.request)
    const isLast = endsAfterAnswer && !session.inTransaction
    if (isLast && !isEnded) {
      isEnded = true
      // The end follows the answer at once, so no request can be sent in between.
      await readArrivedInput()
    }
    await giveAnswer(next, answer)
    if (isLast) {
      link.end()
    }
  }
  /** Fails a request, and drops those behind it: what they build on may be missing. The port closes the connection. */
  const failAt = ({ fail }: UnservedRequest, thrown: unknown): void => {
    isEnded = true
    waiting.length = 0
    fail(thrown)
  }
  const serveWaiting = async (): Promise<void> => {
    isServing = true
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      await serveNext(next).catch((thrown: unknown) => failAt(next, thrown))
    }
    isServing = false
  }
  return {
    get unanswered () { return waiting.length + (isServing ? 1 : 0) },
    get idleMs () { return isServing ? 0 : session.idleMs },
    get inTransaction () { return session.inTransaction },
    serve: async (request) => await new Promise((resolve, reject) => {
      waiting.push({ request, answer: resolve, fail: reject })
      if (!isServing) {
        void serveWaiting()
      }
    }),
    mayWriteOn: (progress) => mayWriteOn(progress, remainingMs()),
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
