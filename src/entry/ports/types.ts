/** Ports through which the entry process uses callers, upstreams and the platform. */
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { CallerHandler, CallerLink, PreparedShape, StatementAnswer } from './statements.ts'

/** A request of an open connection that was read whole, but whose answer has not been written whole. */
export interface UnansweredRequest {
  id: string
  /** Whether it has no answer, or one that is still being written. */
  stage: 'in-progress' | 'unflushed'
}

/** A socket that accepts callers. */
interface CallerListener {
  readonly connections: number
  /** Returns the unanswered requests of all open connections. */
  unanswered: () => UnansweredRequest[]
  /** Stops accepting connections; open ones stay open. */
  stopAccepting: () => void
  /**
   * Stops listening, and ends the remaining connections once their requests are answered and the answers are written.
   *
   * @param flushMs - time after which connections are closed nevertheless, in milliseconds
   * @returns the requests that had no whole answer then
   */
  close: (flushMs: number) => Promise<UnansweredRequest[]>
}

/** Accepts connections from callers. */
export interface CallerPort {
  /**
   * Listens for callers.
   *
   * @param endpoint - address and port to listen on
   * @param accept - creates the handler of a new connection
   * @returns the listener
   */
  listen: (endpoint: Endpoint, accept: (link: CallerLink) => CallerHandler) => Promise<CallerListener>
}

/** State that an upstream reports of itself. */
export interface UpstreamReport {
  role: 'primary' | 'replica'
  term: number
  /** End of the log that it has received. */
  received: LogPosition
}

/** A command to an upstream. Commands without a `requestId` originate in this process. */
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

/** A connection to an upstream, which runs one command at a time. */
export interface UpstreamConnection {
  /**
   * Runs a command.
   *
   * @param command - the command
   * @returns the upstream's answer
   * @throws RequestError `ConnectionLost` with verdict `not-run` if the command was not sent, else `may-have-run`
   */
  run: (command: UpstreamCommand) => Promise<StatementAnswer>
  /** Requests the upstream's state. */
  status: () => Promise<UpstreamReport>
  /** Demotes a primary of a lower term to a replica, and returns its state. */
  demote: (term: number) => Promise<UpstreamReport>
  readonly closed: boolean
  onClose: (listener: () => void) => void
  close: () => void
}

/** The upstream to connect to. */
export interface UpstreamTarget {
  group: string
  /** Identity of the upstream; a different upstream at the same endpoint refuses the connection. */
  upstream: string
  endpoint: Endpoint
}

/** Purpose and time limit of a connection. */
interface ConnectionUse {
  /** Name of the organisation whose statements it carries; empty for none. */
  organisation: string
  /** Maximum time to connect, in milliseconds. */
  timeoutMs: number
}

export interface UpstreamPort {
  /**
   * Opens a connection.
   *
   * @param target - the upstream
   * @param use - purpose and time limit
   * @returns the connection
   * @throws RequestError with verdict `not-run`: `UpstreamUnreachable`, or `UpstreamRefused` with its reason
   */
  open: (target: UpstreamTarget, use: ConnectionUse) => Promise<UpstreamConnection>
}

export interface StoreRow {
  key: string
  value: string
  /** Version of the row's last change; increases with each change of any row. */
  version: number
}

/** All rows of a table at one version. */
export interface StoreSnapshot {
  rows: StoreRow[]
  version: number
  /** Time on the store's monotonic clock, in milliseconds. */
  nowMs: number
}

/** Changes of a table. Each key appears once, in its current state. */
export interface StoreChanges {
  changed: StoreRow[]
  removed: string[]
  /** Version of the newest change; 0 if there are none. */
  newest: number
  /** Version to continue from with the next request. */
  version: number
}

/** An atomic write of rows of one table. */
export interface StoreTransaction {
  table: string
  /** Required versions of rows; 0 if a row must not exist. */
  expected: Array<{ key: string, version: number }>
  put: Array<{ key: string, value: string }>
  remove?: string[]
}

/** The durable store. Its calls throw `PlatformUnavailable` on failure. */
export interface StorePort {
  /**
   * Reads all rows of a table; linearizable.
   *
   * @param table - the table
   * @param onAnswering - called when the answer begins to arrive; a large one may take long after that
   * @returns the rows
   */
  list: (table: string, onAnswering?: () => void) => Promise<StoreSnapshot>
  /**
   * Waits for changes of a table.
   *
   * @param table - the table
   * @param after - version to continue from
   * @param waitMs - time after which an empty answer is returned, in milliseconds
   * @param signal - aborts the request
   * @param onAnswering - called when the answer begins to arrive; a large one may take long after that
   * @returns the changes; undefined if the store no longer has the history since `after`
   */
  follow: (
    table: string, after: number, waitMs: number, signal: AbortSignal, onAnswering?: () => void
  ) => Promise<StoreChanges | undefined>
  /**
   * Writes rows.
   *
   * @param transaction - the rows and their required versions
   * @returns whether the required versions matched
   */
  write: (transaction: StoreTransaction) => Promise<boolean>
}

export interface DirectoryEntry {
  upstream: string
  group: string
  endpoint: Endpoint
  failureDomain: string
  slots: number
  /** Whether it is about to stop. */
  draining: boolean
  /** Whether it considers itself the primary. */
  claimsPrimary: boolean
  /** Start time on its own clock, in milliseconds; undefined if not reported. A restart loses all of its data. */
  bornAt?: number
}

/** Access to the upstreams' rows in the store. */
export interface DirectoryPort {
  table: string
  /** Decodes a row; returns undefined if it is unreadable. */
  decode: (row: StoreRow) => DirectoryEntry | undefined
}

/** Required freshness of a route's reads. */
export type Freshness =
  | { type: 'primary' }
  | { type: 'bounded', maximumAgeMs: number }
  | { type: 'session', maximumAgeMs: number }

/** Rate limit of an organisation over all hosts; an operation is a transaction or a single statement outside of one. */
export interface OperationLimit {
  /** Sustained rate, in operations per second. */
  perSecond: number
  /** Operations permitted at once beyond the rate. */
  burst: number
}

/** An organisation on whose behalf statements run. */
export interface Organisation {
  name: string
  /** Its rate limit; undefined if there is none. */
  limit?: OperationLimit
}

/** Rules for the requests to one database. */
export interface Route {
  name: string
  database: string
  group: string
  freshness: Freshness
  /** Time limit of a statement, in milliseconds. */
  timeoutMs: number
  /** Target duration of an operation, in milliseconds. */
  targetMs: number
  /** 0 is the highest priority. */
  priority: number
  /** Whether callers must present a key of an organisation. */
  needsKey: boolean
}

/** Configuration by the operator. */
export interface DesiredState {
  version: number
  /** Routes by database. */
  routes: Map<string, Route>
  /** Organisations by name. */
  organisations: Map<string, Organisation>
  /** Names of organisations by the digests of their keys. */
  keys: Map<string, string>
  /** Maximum number of connections to each upstream of a group, from all hosts together. */
  connectionCaps: Map<string, number>
  /** Replicas that must have received a commit before it is acknowledged, by group; none for groups that are absent. */
  synchronousReplicas?: Map<string, number>
  /** Maximum idle time of a transaction, in milliseconds. */
  transactionIdleMs: number
}

/** Access to the desired state's row in the store. */
export interface DesiredStatePort {
  table: string
  key: string
  /** Decodes the row's value; throws if it is unreadable. */
  decode: (value: string) => DesiredState
}

/** Outcome of a promotion order; `not-running` if the upstream does not run, `withheld` if the order was not sent. */
type PromotionOutcome = 'accepted' | 'not-running' | 'withheld'

/** Promotes upstreams to primary. */
export interface PromotionPort {
  /**
   * Orders a promotion.
   *
   * @param order - group, upstream, the host that orders it, and the fencing token of its lease
   * @param mayStillOrder - whether the order may still be sent, checked right before; always if omitted
   * @returns the outcome
   * @throws WorkswardError `PlatformUnavailable`; the order may have been accepted
   */
  promote: (
    order: { group: string, upstream: string, holder: string, fence: number }, mayStillOrder?: () => boolean
  ) => Promise<PromotionOutcome>
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
