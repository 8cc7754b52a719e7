/** Types shared by the modules of the connection pools. */
import type { UpstreamConnection } from '../ports/index.ts'

/** A value of a session. */
export interface SessionValue {
  name: string
  text: string
  /** Fingerprint of the text. */
  fingerprint: string
}

/** Values of a session, by the fingerprint of their name. */
export type SessionValues = ReadonlyMap<string, SessionValue>

/** A connection and the state that earlier sessions left on it. */
export interface PooledConnection {
  connection: UpstreamConnection
  /** Organisation whose statements the connection carries; empty for none. */
  readonly organisation: string
  /** Fingerprints of the session values that are set on the connection, by the fingerprint of their name. */
  values: Map<string, string>
  /** Names of the statements that are prepared on the connection, by access and fingerprint of the shape. */
  prepared: Map<string, string>
  idleSince: number
  /** Whether it is leased to a transaction that has no statement in progress. */
  isIdleTransaction: boolean
}

/** Exclusive use of a connection by one statement or transaction. */
export interface ConnectionLease extends PooledConnection {
  /** Returns the connection to the pool. */
  release: () => void
  /** Closes the connection, for when the state of its session is unknown. */
  discard: () => void
  /** Adds a listener that is called when the connection is released or discarded. */
  onEnd: (listener: () => void) => void
  /** Records whether the transaction on the connection is open without a statement in progress. */
  setIdleTransaction: (isIdle: boolean) => void
}

/** Requirements for a connection. */
export interface LeaseRequest {
  /** Organisation of the requester; undefined if a connection of any organisation can be used. */
  organisation: string | undefined
  /** Session values of the requester; a connection that has them is preferred. */
  values: SessionValues
  /** Lower values are served first. */
  priority: number
  /** Maximum wait, in milliseconds. */
  waitMs: number
  /** Whether the connection is for a transaction, which may stay open without a statement in progress. */
  beginsTransaction: boolean
}

/** Why a pool closed a connection: nobody used it, another organisation needed its place, or it failed. */
export type CloseReason = 'idle' | 'replaced' | 'failed'

/** State of a pool in which organisations compete for its connections. */
export interface PoolContention {
  /** Number of organisations that wait for a connection. */
  organisationsWaiting: number
  /** Number of leased connections. */
  inUse: number
  /** Number of leased connections whose transaction has no statement in progress. */
  idleInTransaction: number
  /** Number of connections closed for another organisation since the last report. */
  closedForOthers: number
}

export type UpstreamFault = 'refused' | 'silent' | 'broken' | 'misrouted'

/** Events of an upstream that a pool reports. */
export interface PoolEvents {
  onAnswer: () => void
  onFault: (fault: UpstreamFault, reason: string) => void
  /** Called when a connection was opened. */
  onOpened: () => void
  /** Called when a connection is closed. */
  onClosed: (reason: CloseReason) => void
  /** Called at most once per second while organisations wait for a connection or take those of others. */
  onContended: (contention: PoolContention) => void
}
