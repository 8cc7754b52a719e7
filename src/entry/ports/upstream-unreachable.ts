/** Error for a failed attempt to connect to an upstream that sent no answer. */
import { RequestError } from '../../core/errors/index.ts'

/** Whether the upstream's host refused or reset the connection, or did not respond. */
export type UnreachableFault = 'refused' | 'silent'

/** `ConnectionLost` with verdict `not-run`, and the way in which the attempt failed. */
export class UpstreamUnreachable extends RequestError<'ConnectionLost'> {
  readonly fault: UnreachableFault

  constructor (upstream: string, reason: string, fault: UnreachableFault) {
    super('not-run', 'ConnectionLost', { upstream, reason })
    this.fault = fault
  }
}
