/** Statements of callers and the answers to them, independent of the protocol. */
import type { Verdict } from '../../core/errors/index.ts'
import type { WriteProgress } from '../../core/wire/write-rate.ts'
import type { LogPosition } from '../../positions/position.ts'

export type Access = 'read' | 'write'

/** A prepared statement: its access, and the shape of its query. */
export interface PreparedShape {
  access: Access
  shape: string
}

/** A statement from a caller; `text` is passed on unchanged. */
export type CallerStatement =
  | { type: 'begin', readOnly: boolean }
  | { type: 'commit', text: string }
  | { type: 'rollback' }
  | { type: 'data', access: Access, text: string }
  | { type: 'set', name: string, value: string }
  | { type: 'prepare', name: string, prepared: PreparedShape }
  | { type: 'execute', name: string, parameters: string }
  | { type: 'deallocate', name: string }
  | { type: 'malformed', reason: string }
  /** A statement whose text was dropped, because there was no room for it. */
  | { type: 'dropped', bytes: number }

/** State of a session: outside a transaction, inside one, or inside one that can only be rolled back. */
export type TransactionState = 'idle' | 'open' | 'failed'

/** Reason why a statement failed. */
export type FailureKind =
  | 'busy' | 'aborted' | 'lagging' | 'read-only' | 'misrouted' | 'too-many-connections'
  | 'failed' | 'timeout' | 'in-doubt'
  | 'unknown-database' | 'unknown-key' | 'unknown-statement' | 'too-large' | 'malformed'

export interface StatementFailure {
  kind: FailureKind
  message: string
}

export interface StatementAnswer {
  rows: string[]
  /** The upstream's proof that it ran the statement; undefined if no upstream answered. */
  signature?: string
  failure?: StatementFailure
  state: TransactionState
  /** End of the log of the upstream that answered; undefined if no upstream answered. */
  position?: LogPosition
}

/** An answer to a caller, whose rows are written as fast as the caller reads. */
export interface CallerAnswer extends StatementAnswer {
  /**
   * Returns the answer that takes its place when its rows can't all be written, by default because this host closes
   * before. Called at most once, before `onWritten`.
   */
  withoutRows?: (reason?: string) => StatementAnswer
  /** Called when it has been written whole, or what takes its place. */
  onWritten?: () => void
}

/** A statement from a caller, with the request id that identifies it in all logs. */
export interface CallerRequest {
  id: string
  statement: CallerStatement
}

/** Serves the connection of one caller. */
export interface CallerHandler {
  /**
   * Serves a request that was read whole, which may be while earlier ones are served. Answers must come in the order of
   * the requests.
   *
   * @param request - the request
   * @returns the answer; never rejects
   */
  serve: (request: CallerRequest) => Promise<CallerAnswer>
  /**
   * Decides whether more rows of an answer are written; asked before the first ones, and whenever the connection has
   * room again. Otherwise {@link CallerAnswer.withoutRows} takes the place of the rest.
   */
  mayWriteOn: (progress: WriteProgress) => boolean
  /** Called after the connection has been closed. */
  close: () => void
}

/** A caller's connection, as its handler uses it. */
export interface CallerLink {
  database: string
  /** Digest of the caller's key; the key itself is not passed on. */
  keyDigest: string
  /** Ends the connection as soon as every request that was read has an answer, and the answers are written. */
  end: () => void
  /**
   * Answers the start of the session with a failure, and ends the connection; only while the session is being accepted.
   * None of its requests are served.
   */
  refuseStart: (failure: StatementFailure) => void
}

/** Failures after which the upstream has certainly not run the statement. */
const NOT_RUN_FAILURES: ReadonlySet<FailureKind> =
  new Set(['busy', 'lagging', 'read-only', 'misrouted', 'too-many-connections', 'unknown-statement'])

/**
 * Returns the verdict on a statement that an upstream answered with a failure.
 *
 * @param kind - the failure
 * @returns whether the statement may have run
 */
export function verdictOf (kind: FailureKind): Verdict {
  return NOT_RUN_FAILURES.has(kind) ? 'not-run' : 'may-have-run'
}
