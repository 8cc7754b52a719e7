/** The ports of the entry process. */
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { CallerHandler, CallerLink, PreparedShape, StatementAnswer } from './statements.ts'

/** A listening socket for callers. */
interface CallerListener {
  readonly connections: number
  /** Takes no further connections; those that are open go on. */
  stopAccepting: () => void
  /** Stops listening and breaks what is left. */
  close: () => Promise<void>
}

/** Takes callers. */
export interface CallerPort {
  /**
   * Listens for callers.
   *
   * @param endpoint - where
   * @param accept - makes the handler of a new connection
   * @returns the listener
   */
  listen: (endpoint: Endpoint, accept: (link: CallerLink) => CallerHandler) => Promise<CallerListener>
}

/** What an upstream says of itself. */
export interface UpstreamReport {
  role: 'primary' | 'replica'
  term: number
  /** End of what it has received. */
  received: LogPosition
}

/** What is sent to an upstream. Own statements carry no caller's request id. */
export type UpstreamCommand =
  | { type: 'data', requestId: string, text: string, after?: LogPosition }
  | { type: 'execute', requestId: string, name: string, parameters: string, after?: LogPosition }
  | { type: 'commit', requestId: string, text: string }
  | { type: 'begin', readOnly: boolean, after?: LogPosition }
  | { type: 'rollback' }
  | { type: 'set', name: string, value: string }
  | { type: 'prepare', name: string, prepared: PreparedShape }
  | { type: 'deallocate', name: string }
  | { type: 'reset' }

/** A connection to an upstream; one command at a time. */
export interface UpstreamConnection {
  /**
   * Runs a command.
   *
   * @param command - the command
   * @returns the upstream's answer
   * @throws RequestError `ConnectionLost`: `not-run` before it was sent, `may-have-run` after
   */
  run: (command: UpstreamCommand) => Promise<StatementAnswer>
  /** Asks the upstream for its state. */
  status: () => Promise<UpstreamReport>
  /** Makes a primary of a lower term a replica, and returns its state. */
  demote: (term: number) => Promise<UpstreamReport>
  readonly closed: boolean
  onClose: (listener: () => void) => void
  close: () => void
}

/** Which upstream to connect to. */
export interface UpstreamTarget {
  group: string
  /** Identity of the upstream; another one at the same address refuses. */
  upstream: string
  endpoint: Endpoint
}

/** For whom a connection is opened. */
interface ConnectionUse {
  /** Name of the organisation whose statements it carries; empty for none. */
  organisation: string
  /** Greatest wait, in milliseconds. */
  timeoutMs: number
}

/** Opens connections to upstreams. */
export interface UpstreamPort {
  /**
   * Opens a connection.
   *
   * @param target - the upstream
   * @param use - for whom, and the greatest wait
   * @returns the connection
   * @throws RequestError with verdict `not-run`: `UpstreamUnreachable`, or `UpstreamRefused` with its reason
   */
  open: (target: UpstreamTarget, use: ConnectionUse) => Promise<UpstreamConnection>
}

/** A row of a table in the store. */
export interface StoreRow {
  key: string
  value: string
  /** Raised with every change of any row. */
  version: number
}

/** Rows of a table as of one moment. */
export interface StoreSnapshot {
  rows: StoreRow[]
  version: number
  /** Time of the store's steady clock, in milliseconds. */
  nowMs: number
}

/** What has changed in a table: each key once, as it now is. */
export interface StoreChanges {
  changed: StoreRow[]
  removed: string[]
  /** Version of the newest of these changes; 0 when there are none. */
  newest: number
  /** Version of the store that the next question continues from. */
  version: number
}

/** A write of several rows of a table, all or none. */
export interface StoreTransaction {
  table: string
  /** Versions that rows must have; 0 when a row must not exist. */
  expected: Array<{ key: string, version: number }>
  put: Array<{ key: string, value: string }>
  remove?: string[]
}

/** The store in which everything that must last is kept. Each call fails with `PlatformUnavailable`. */
export interface StorePort {
  /** Reads a whole table; linearizable. */
  list: (table: string) => Promise<StoreSnapshot>
  /**
   * Waits for changes of a table.
   *
   * @param table - the table
   * @param after - version of the last change that is known
   * @param waitMs - time after which an empty answer comes, in milliseconds
   * @param signal - gives the question up
   * @returns the changes, or undefined when the history since then is gone
   */
  follow: (table: string, after: number, waitMs: number, signal: AbortSignal) => Promise<StoreChanges | undefined>
  /**
   * Writes rows.
   *
   * @param transaction - the rows and what they must have been
   * @returns whether the conditions held
   */
  write: (transaction: StoreTransaction) => Promise<boolean>
}

/** An upstream in the directory. */
export interface DirectoryEntry {
  upstream: string
  group: string
  endpoint: Endpoint
  failureDomain: string
  slots: number
  /** Whether it is about to end. */
  draining: boolean
  /** Whether it takes itself for the primary. */
  claimsPrimary: boolean
  /**
   * When it started, in milliseconds of its clock; undefined where it does not say so. One that started again holds
   * nothing of what it held before.
   */
  bornAt?: number
}

/** The upstreams that exist, as rows of a table. */
export interface DirectoryPort {
  table: string
  /** Decodes a row; undefined when it cannot be read. */
  decode: (row: StoreRow) => DirectoryEntry | undefined
}

/** How fresh a route's reads must be. */
export type Freshness =
  | { type: 'primary' }
  | { type: 'bounded', maximumAgeMs: number }
  | { type: 'session', maximumAgeMs: number }

/** How much an organisation may ask for, on all hosts together, counted in single statements and in transactions. */
export interface OperationLimit {
  /** Operations a second in the long run. */
  perSecond: number
  /** Operations beyond that at a time. */
  burst: number
}

/** Whose callers are served. */
export interface Organisation {
  name: string
  /** What it may ask for; undefined where that is not limited. */
  limit?: OperationLimit
}

/** How requests for one database are served. */
export interface Route {
  name: string
  database: string
  group: string
  freshness: Freshness
  /** Time a statement may take, in milliseconds. */
  timeoutMs: number
  /** Time within which an operation should be done, in milliseconds. */
  targetMs: number
  /** 0 goes first. */
  priority: number
  /** Whether only callers that name a key of an organisation are served. */
  needsKey: boolean
}

/** The operator's wishes. */
export interface DesiredState {
  version: number
  /** Routes by database. */
  routes: Map<string, Route>
  /** Organisations by name. */
  organisations: Map<string, Organisation>
  /** Names of the organisations that hold keys, by the digests of these. */
  keys: Map<string, string>
  /** Greatest number of connections to one upstream of a group, from all hosts together. */
  connectionCaps: Map<string, number>
  /** Time a transaction may rest, in milliseconds. */
  transactionIdleMs: number
}

/** The desired state, as a row of a table. */
export interface DesiredStatePort {
  table: string
  key: string
  /** Decodes the row's value; throws when it cannot be read. */
  decode: (value: string) => DesiredState
}

/** Outcome of an order to promote. */
type PromotionOutcome = 'accepted' | 'not-running'

/** Makes an upstream the primary of its group. */
export interface PromotionPort {
  /**
   * Orders a promotion.
   *
   * @param order - group, upstream, the host that may order it, and the fencing token of its lease
   * @returns the outcome
   * @throws WorkswardError `PlatformUnavailable`; the order may have been taken all the same
   */
  promote: (order: { group: string, upstream: string, holder: string, fence: number }) => Promise<PromotionOutcome>
}

/** All ports; service of the plug-in `ports`. */
interface Ports {
  callers: CallerPort
  upstreams: UpstreamPort
  store: StorePort
  directory: DirectoryPort
  desiredState: DesiredStatePort
  promotion: PromotionPort
}

declare module '../../core/kernel/index.ts' {
  interface Services { ports: Ports }
}
