/** Error of a lost upstream connection with its cause, which isn't sent to other processes. */
import { RequestError, type Verdict } from '../core/errors/index.ts'

/** Cause of the loss: connection refused, reset by the peer, closed during a statement, or any other. */
type LossCause = 'refused' | 'reset' | 'broken' | 'other'

/** Causes by socket error code. */
const CAUSES: Record<string, LossCause | undefined> = { ECONNREFUSED: 'refused', ECONNRESET: 'reset' }

/** Thrown when the connection to an upstream is lost. */
export class ConnectionLostError extends RequestError<'ConnectionLost'> {
  readonly lossCause: LossCause

  constructor (verdict: Verdict, upstream: string, reason: string, lossCause: LossCause) {
    super(verdict, 'ConnectionLost', { upstream, reason })
    this.lossCause = lossCause
  }
}

/**
 * Determines the cause of a socket or driver error.
 *
 * @returns the cause; `other` for an AggregateError, whose code is only that of the first address tried
 */
export function lossCauseOf (error: Error & { code?: string }): LossCause {
  const cause = error instanceof AggregateError ? undefined : CAUSES[error.code ?? '']
  return cause ?? 'other'
}

/**
 * Checks whether an upstream refused a connection because its connection limit was reached. Matches the message, since
 * errors received from a peer carry no cause.
 */
export function isTooManyConnections (error: unknown): boolean {
  return error instanceof RequestError && error.entry === 'ConnectionLost' &&
    /too many connections/i.test(error.message)
}
