/** Types shared by the modules of the connection pools. */
import type { UpstreamConnection } from '../ports/index.ts'

/** A connection and the state that earlier sessions left on it. */
export interface PooledConnection {
  connection: UpstreamConnection
  /** Organisation whose statements the connection carries; empty for none. */
  readonly organisation: string
  /** Session values that are set on the connection. */
  values: Map<string, string>
  /** Names of the statements that are prepared on the connection, by access and shape. */
  prepared: Map<string, string>
  idleSince: number
}

/** Exclusive use of a connection by one statement or transaction. */
export interface ConnectionLease extends PooledConnection {
  /** Returns the connection to the pool. */
  release: () => void
  /** Closes the connection, for when the state of its session is unknown. */
  discard: () => void
  /** Adds a listener that is called when the connection is released or discarded. */
  onEnd: (listener: () => void) => void
}

/** Requirements for a connection. */
export interface LeaseRequest {
  /** Organisation of the requester; undefined if a connection of any organisation can be used. */
  organisation: string | undefined
  /** Session values of the requester; a connection that has them is preferred. */
  values: ReadonlyMap<string, string>
  /** Lower values are served first. */
  priority: number
  /** Maximum wait, in milliseconds. */
  waitMs: number
}

export type UpstreamFault = 'refused' | 'silent' | 'broken' | 'misrouted'

/** Events of an upstream that a pool reports. */
export interface PoolEvents {
  onAnswer: () => void
  onFault: (fault: UpstreamFault, reason: string) => void
}
