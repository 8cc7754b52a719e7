/**
 * Owns the requests of a caller's connection from the time they are read until they have an answer, and serves them one
 * at a time in their order.
 */
import type { CallerRequest, StatementAnswer } from '../ports/index.ts'

/** A request without an answer. */
interface UnservedRequest {
  request: CallerRequest
  answer: (answer: StatementAnswer) => void
}

/** Options of {@link createCallerRequests}. */
interface CallerRequestsOptions {
  /** Serves a request; never rejects. */
  serve: (request: CallerRequest) => Promise<StatementAnswer>
}

/** The requests of a connection. */
export interface CallerRequests {
  /** Number of requests without an answer. */
  readonly unanswered: number
  /**
   * Serves a request after all earlier ones.
   *
   * @param request - the request
   * @returns its answer; never rejects
   */
  serve: (request: CallerRequest) => Promise<StatementAnswer>
}

/**
 * Creates the owner of a connection's requests.
 *
 * @param options - serves a request
 * @returns the owner
 */
export function createCallerRequests ({ serve }: CallerRequestsOptions): CallerRequests {
  const waiting: UnservedRequest[] = []
  let isServing = false

  const serveWaiting = async (): Promise<void> => {
    isServing = true
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      next.answer(await serve(next.request))
    }
    isServing = false
  }
  return {
    get unanswered () { return waiting.length + (isServing ? 1 : 0) },
    serve: async (request) => await new Promise((resolve) => {
      waiting.push({ request, answer: resolve })
      if (!isServing) {
        void serveWaiting()
      }
    })
  }
}
