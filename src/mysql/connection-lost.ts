/**
 * The error of a connection to an upstream that was lost, with its cause as a type, so that nobody reads it out of the
 * message. Its entry, details and message are those of the catalogue; the cause stays in this process.
 */
import { RequestError, type Verdict } from '../core/errors/index.ts'

/** Cause of the loss: nobody listens, the peer reset it, it ended under a statement, or anything else. */
type LossCause = 'refused' | 'reset' | 'broken' | 'other'

/** Causes by the code of the socket's error. */
const CAUSES: Record<string, LossCause | undefined> = { ECONNREFUSED: 'refused', ECONNRESET: 'reset' }

/** A connection to an upstream was lost. */
export class ConnectionLostError extends RequestError<'ConnectionLost'> {
  readonly lossCause: LossCause

  constructor (verdict: Verdict, upstream: string, reason: string, lossCause: LossCause) {
    super(verdict, 'ConnectionLost', { upstream, reason })
    this.lossCause = lossCause
  }
}

/**
 * Finds the cause of a loss.
 *
 * @param error - error of the socket or of the driver
 * @returns the cause; `other` for a name with several addresses, since the code is that of the first address alone
 */
export function lossCauseOf (error: Error & { code?: string }): LossCause {
  const cause = error instanceof AggregateError ? undefined : CAUSES[error.code ?? '']
  return cause ?? 'other'
}

/**
 * Decides whether an upstream had no room for a connection. Read from the text, since a reply over a peer link carries
 * entry, details and verdict, and no further cause.
 *
 * @param error - the error
 * @returns whether it had none
 */
export function isTooManyConnections (error: unknown): boolean {
  return error instanceof RequestError && error.entry === 'ConnectionLost' &&
    /too many connections/i.test(error.message)
}
