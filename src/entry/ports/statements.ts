/** Statements of callers and their answers, whatever protocol carries them. */
import type { Verdict } from '../../core/errors/index.ts'
import type { LogPosition } from '../../positions/position.ts'

/** Whether a statement reads or writes. */
export type Access = 'read' | 'write'

/** A prepared statement: what it does to which shape of query. */
export interface PreparedShape {
  access: Access
  shape: string
}

/** A statement as a caller sends it. `text` is the caller's own wording, passed on unchanged. */
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

/** Where a session stands: outside a transaction, inside one, or inside one that can only be rolled back. */
export type TransactionState = 'idle' | 'open' | 'failed'

/** Why a statement was not answered with success. */
export type FailureKind =
  | 'busy' | 'aborted' | 'lagging' | 'read-only' | 'misrouted' | 'too-many-connections'
  | 'failed' | 'timeout' | 'in-doubt'
  | 'unknown-database' | 'unknown-key' | 'unknown-statement' | 'too-large' | 'malformed'

/** A failed statement. */
interface StatementFailure {
  kind: FailureKind
  message: string
}

/** The answer to a statement. */
export interface StatementAnswer {
  rows: string[]
  /** Proof of the upstream that it ran the statement; undefined when worksward answered by itself. */
  signature?: string
  failure?: StatementFailure
  state: TransactionState
  /** End of the log of the upstream that answered; undefined when worksward answered by itself. */
  position?: LogPosition
}

/** A request of a caller: its id in all logs, and the statement. */
export interface CallerRequest {
  id: string
  statement: CallerStatement
}

/** Serves one caller's connection. */
export interface CallerHandler {
  /**
   * Serves one request; the listener sends the next one only when this has been answered.
   *
   * @param request - the request
   * @returns the answer; never rejects
   */
  serve: (request: CallerRequest) => Promise<StatementAnswer>
  /** The connection is gone. */
  close: () => void
}

/** A caller's connection, as its handler sees it. */
export interface CallerLink {
  database: string
  /** Digest of the key that the caller named; the key itself stays with the port. */
  keyDigest: string
  /** Ends the connection once the answer in progress has been sent. */
  end: () => void
}

/** Kinds of failure after which an upstream has certainly not run the statement. */
const NOT_RUN: ReadonlySet<FailureKind> =
  new Set(['busy', 'lagging', 'read-only', 'misrouted', 'too-many-connections', 'unknown-statement'])

/**
 * Returns the verdict on a statement that an upstream answered with a failure.
 *
 * @param kind - the failure
 * @returns whether the statement may have run
 */
export function verdictOf (kind: FailureKind): Verdict {
  return NOT_RUN.has(kind) ? 'not-run' : 'may-have-run'
}
