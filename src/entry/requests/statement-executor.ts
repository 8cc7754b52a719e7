/**
 * What executes the statements of a request at one upstream: a leased connection of this host (`local-executor.ts`), or
 * a home of the upstream that statements are forwarded to (`forwarding-executor.ts`).
 */
import type { RequestError } from '../../core/errors/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UsedUpstream } from '../pools/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { DataWork, RequestScope } from './types.ts'

/** Time that a rollback may take before the connection is closed instead, in milliseconds. No caller waits for it. */
export const ROLLBACK_MS = 1500

/** A step of a transaction. */
export type TransactionStep =
  | { type: 'work', work: DataWork }
  | { type: 'commit', requestId: string, text: string }

/** Outcome of beginning a transaction, and of its first step. */
export interface Begun {
  /** Answer to the beginning; with a failure nothing was begun, and the executor has been released. */
  begin: TimedAnswer
  /** Answer to the first step. */
  first?: TimedAnswer
  /** Why the first step has no answer. */
  lost?: RequestError
}

/** Executes one statement or one transaction at an upstream. */
export interface StatementExecutor {
  readonly known: KnownUpstream
  readonly used: UsedUpstream
  /** Position that the upstream's log must have reached; undefined where only the primary will do. */
  readonly after?: LogPosition
  /** Host that has the connection; undefined when it is this one. */
  readonly home?: string
  /** Why the transaction that is open here cannot go on; undefined while it can. */
  readonly brokenBecause: string | undefined
  /**
   * Runs a single statement and releases the executor.
   *
   * @param scope - the request
   * @param work - the statement
   * @param mayAbandon - whether it may be given up while it may be running
   * @returns the answer
   * @throws RequestError with the verdict on whether it may have run
   */
  runSingle: (scope: RequestScope, work: DataWork, mayAbandon: boolean) => Promise<TimedAnswer>
  /**
   * Begins a transaction and runs its first step.
   *
   * @param scope - the request
   * @param readOnly - whether the transaction only reads
   * @param step - the first step
   * @returns the outcome of both
   * @throws RequestError when it has not begun; the executor has been released
   */
  begin: (scope: RequestScope, readOnly: boolean, step: TransactionStep) => Promise<Begun>
  /**
   * Runs a further step of the transaction that is open here.
   *
   * @param scope - the request
   * @param step - the step
   * @returns the answer
   * @throws RequestError; the transaction is lost, and the caller discards the executor
   */
  step: (scope: RequestScope, step: TransactionStep) => Promise<TimedAnswer>
  /** Releases the executor after a transaction has ended. */
  release: () => void
  /** Abandons the connection: the state of what it carries is in doubt. */
  discard: () => void
  /** Rolls back the open transaction and releases the executor; never rejects. */
  rollBack: () => Promise<void>
}
