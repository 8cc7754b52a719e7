/** Types of the pools of upstream connections. */
import type { UpstreamConnection } from '../ports/index.ts'

/** A connection, and what was left on it by the sessions that used it. */
export interface PooledConnection {
  connection: UpstreamConnection
  /** Name of the organisation whose statements it carries; empty for none. */
  readonly organisation: string
  /** Session values that were set on it. */
  values: Map<string, string>
  /** Names of statements that were prepared on it, by access and shape. */
  prepared: Map<string, string>
  idleSince: number
}

/** A connection that is in use by one statement or transaction. */
export interface ConnectionLease extends PooledConnection {
  /** Gives the connection back for others. */
  release: () => void
  /** Closes the connection: what it carries is in doubt. */
  discard: () => void
}

/** What a user of a connection needs. */
export interface LeaseRequest {
  /** Name of the organisation that asks; undefined where a connection of any will do. */
  organisation: string | undefined
  /** Session values that the connection should have; a connection that fits is preferred. */
  values: ReadonlyMap<string, string>
  /** 0 goes first. */
  priority: number
  /** Greatest wait, in milliseconds. */
  waitMs: number
}

/** How an upstream failed. */
export type UpstreamFault = 'refused' | 'silent' | 'broken' | 'misrouted'

/** What a pool reports of its upstream. */
export interface PoolEvents {
  /** The upstream answered. */
  onAnswer: () => void
  onFault: (fault: UpstreamFault, reason: string) => void
}
