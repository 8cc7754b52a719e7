/**
 * Interface for executing the statements of a request at one upstream, either on a leased connection of this host
 * (`local-executor.ts`) or by forwarding them to a home of the upstream (`forwarding-executor.ts`).
 */
import type { RequestError } from '../../core/errors/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { UpstreamResources } from '../pools/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { ExecutableStatement, RequestScope } from './types.ts'

/** Timeout of a rollback, in milliseconds, after which the connection is closed. No caller waits for it. */
export const ROLLBACK_MS = 1500

/** A step of a transaction. */
export type TransactionStep =
  | { type: 'statement', statement: ExecutableStatement }
  | { type: 'commit', requestId: string, text: string }

/** Outcome of the begin of a transaction and of its first step. */
export interface BeginResult {
  /** Answer to the begin. If it is a failure, no transaction is open and the executor has been released. */
  beginAnswer: TimedAnswer
  /** Answer to the first step, if there is one. */
  firstAnswer?: TimedAnswer
  /** Error of a first step without an answer. */
  firstError?: RequestError
}

/** Executes one statement or one transaction at an upstream. */
export interface StatementExecutor {
  readonly target: KnownUpstream
  readonly resources: UpstreamResources
  /** Position that the upstream's log must have reached; undefined if the statements require the primary. */
  readonly after?: LogPosition
  /** Name of the home that statements are forwarded to; undefined if the connection belongs to this host. */
  readonly home?: string
  /** Reason why the open transaction cannot continue; undefined while it can. */
  readonly brokenBecause: string | undefined
  /**
   * Runs a single statement and releases the executor.
   *
   * @param scope - the current request
   * @param statement - the statement
   * @param mayAbandon - whether the executor may stop waiting for the answer, although the statement may still run
   * @returns the answer
   * @throws RequestError with the verdict on whether it may have run
   */
  runSingle: (scope: RequestScope, statement: ExecutableStatement, mayAbandon: boolean) => Promise<TimedAnswer>
  /**
   * Begins a transaction and runs its first step.
   *
   * @param scope - the current request
   * @param readOnly - whether the transaction is read-only
   * @param step - the first step
   * @returns the outcome of both
   * @throws RequestError if no transaction has begun; the executor has been released
   */
  begin: (scope: RequestScope, readOnly: boolean, step: TransactionStep) => Promise<BeginResult>
  /**
   * Runs another step of the open transaction.
   *
   * @param scope - the current request
   * @param step - the step
   * @returns the answer
   * @throws RequestError if the transaction is lost; the caller must discard the executor
   */
  step: (scope: RequestScope, step: TransactionStep) => Promise<TimedAnswer>
  /** Releases the executor after a transaction has ended. */
  release: () => void
  /** Abandons the open transaction, whose state is unknown. */
  discard: () => void
  /** Rolls back the open transaction and releases the executor; never rejects. */
  rollBack: () => Promise<void>
}
