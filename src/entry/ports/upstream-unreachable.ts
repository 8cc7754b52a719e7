/** The error of an attempt to connect to an upstream that failed without an answer from it. */
import { RequestError } from '../../core/errors/index.ts'

/** Whether the host of the upstream refused or reset the connection, or nothing was heard of it. */
export type UnreachableFault = 'refused' | 'silent'

/** `ConnectionLost` with verdict `not-run`, and how the attempt failed. */
export class UpstreamUnreachable extends RequestError<'ConnectionLost'> {
  readonly fault: UnreachableFault

  constructor (upstream: string, reason: string, fault: UnreachableFault) {
    super('not-run', 'ConnectionLost', { upstream, reason })
    this.fault = fault
  }
}
