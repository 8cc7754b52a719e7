/**
 * Decides whether a failed attempt is retried, at which upstream and after which pause. Statements that have certainly
 * not run are retried while attempts or time remain; reads that may have run also need a retry from the budget. A write
 * or a commit that may have run is never retried. The begin of a transaction has no lasting effect, so it is retried
 * even if it may have run.
 */
import type { ErrorName, RequestError } from '../../core/errors/index.ts'
import { verdictOf, type FailureKind, type StatementAnswer } from '../ports/index.ts'

/** Maximum attempts of a read, or of the begin of a transaction. */
const MAXIMUM_READ_ATTEMPTS = 6
/** Maximum attempts of a write that fails with errors before it runs. */
const MAXIMUM_WRITE_ATTEMPTS = 6
/** Maximum attempts of a statement inside a transaction that the upstream does not run. */
const MAXIMUM_STEP_ATTEMPTS = 4
/**
 * Pause before the retry of a statement that has not run, in milliseconds. Also the retry delay reported to callers and
 * hosts that may retry right away.
 */
export const RETRY_PAUSE_MS = 25

/** Why an attempt failed: a failure reported by the upstream, or an error on the way there and its text for the log. */
export type RetryCause =
  | { type: 'failure', kind: FailureKind }
  | { type: 'error', error: Pick<RequestError, 'entry' | 'verdict'>, reason: string }

/** Decision on a failed attempt. */
type RetryDecision =
  /** The caller gets the failure or the error. */
  | { action: 'give-up' }
  | {
    action: 'repeat'
    /** Whether further attempts of the request must avoid this upstream. */
    excludeUpstream: boolean
    /** Whether the failed attempt may have run; if so, it counts against the organisation's limit separately. */
    mayHaveRun: boolean
    pauseMs: number
  }

const GIVE_UP: RetryDecision = { action: 'give-up' }

/** Failures after which a read is retried, at another upstream or at any. All others are final. */
const RETRIABLE_READ_FAILURES: Partial<Record<FailureKind, 'elsewhere' | 'anywhere'>> = {
  busy: 'elsewhere',
  lagging: 'elsewhere',
  misrouted: 'elsewhere',
  'read-only': 'elsewhere',
  failed: 'elsewhere',
  timeout: 'elsewhere',
  'unknown-statement': 'anywhere'
}
/** Failures after which retrying a read takes from the retry budget, since the read has run. */
const BUDGETED_READ_FAILURES: ReadonlySet<FailureKind> = new Set(['failed', 'timeout'])
/** Failures after which a write is retried; all of them mean that it has not run. */
const RETRIABLE_WRITE_FAILURES: ReadonlySet<FailureKind> = new Set([
  'busy', 'read-only', 'unknown-statement', 'misrouted'
])
/** Errors after which a write that has not run is retried, since another route to the primary may work. */
const RETRIABLE_WRITE_ERRORS: ReadonlySet<ErrorName> = new Set<ErrorName>([
  'PeerUnavailable', 'NoUpstream', 'ConnectionLost'
])

/** State of a read after an attempt. */
export interface ReadAttempt {
  /** Attempts so far, including the failed one. */
  attempts: number
  /** Whether only the primary may serve it. */
  primaryOnly: boolean
  deadlinePassed: boolean
  /** Takes a retry from the budget; returns false if it is exhausted. Called only if a retry is otherwise allowed. */
  spendBudget: () => boolean
}

/**
 * Decides whether a failed read is retried. An unreachable home does not exclude the upstream behind it.
 *
 * @param cause - why the attempt failed
 * @param attempt - state of the read
 * @returns the decision
 */
export function decideReadRetry (cause: RetryCause, attempt: ReadAttempt): RetryDecision {
  return cause.type === 'failure'
    ? decideFailedRead(cause.kind, attempt)
    : decideReadAfterError(cause.error, attempt)
}

function decideFailedRead (kind: FailureKind, { attempts, primaryOnly, spendBudget }: ReadAttempt): RetryDecision {
  const retryAt = RETRIABLE_READ_FAILURES[kind]
  if (
    retryAt === undefined || attempts >= MAXIMUM_READ_ATTEMPTS ||
    (BUDGETED_READ_FAILURES.has(kind) && !spendBudget())
  ) {
    return GIVE_UP
  }
  return {
    action: 'repeat',
    excludeUpstream: retryAt === 'elsewhere',
    mayHaveRun: verdictOf(kind) !== 'not-run',
    pauseMs: kind === 'busy' || primaryOnly ? RETRY_PAUSE_MS : 0
  }
}

function decideReadAfterError (
  { entry, verdict }: Pick<RequestError, 'entry' | 'verdict'>, { attempts, deadlinePassed, spendBudget }: ReadAttempt
): RetryDecision {
  const mayHaveRun = verdict !== 'not-run'
  if (attempts >= MAXIMUM_READ_ATTEMPTS || deadlinePassed || (mayHaveRun && !spendBudget())) {
    return GIVE_UP
  }
  return { action: 'repeat', excludeUpstream: entry !== 'PeerUnavailable', mayHaveRun, pauseMs: 0 }
}

/**
 * Decides whether a failed write is retried.
 *
 * @param cause - why the attempt failed
 * @param attempts - attempts so far, including the failed one
 * @param leftMs - time left until the deadline, in milliseconds
 * @returns the decision
 */
export function decideWriteRetry (cause: RetryCause, attempts: number, leftMs: number): RetryDecision {
  const isRetriable = cause.type === 'failure'
    ? RETRIABLE_WRITE_FAILURES.has(cause.kind)
    : cause.error.verdict === 'not-run' && RETRIABLE_WRITE_ERRORS.has(cause.error.entry) &&
      attempts < MAXIMUM_WRITE_ATTEMPTS
  if (!isRetriable || leftMs < RETRY_PAUSE_MS * 2) {
    return GIVE_UP
  }
  return { action: 'repeat', excludeUpstream: false, mayHaveRun: false, pauseMs: RETRY_PAUSE_MS }
}

/** State of the begin of a transaction after an attempt. */
interface BeginAttempt {
  attempts: number
  deadlinePassed: boolean
  /** Whether the attempt was forwarded to a home. */
  throughHome: boolean
}

/**
 * Decides whether the failed begin of a transaction is retried. Overload is final, and so is `NoUpstream` on this host.
 * `NoUpstream` reported by a home is not, since another home may reach the primary.
 *
 * @param cause - why the attempt failed
 * @param attempt - state of the begin
 * @returns the decision
 */
export function decideBeginRetry (
  cause: RetryCause, { attempts, deadlinePassed, throughHome }: BeginAttempt
): RetryDecision {
  const entry = cause.type === 'error' ? cause.error.entry : undefined
  const isFinal = entry === 'Overloaded' || (entry === 'NoUpstream' && !throughHome)
  if (isFinal || attempts >= MAXIMUM_READ_ATTEMPTS || (cause.type === 'error' && deadlinePassed)) {
    return GIVE_UP
  }
  return { action: 'repeat', excludeUpstream: entry !== 'PeerUnavailable', mayHaveRun: false, pauseMs: RETRY_PAUSE_MS }
}

/**
 * Decides whether a statement inside a transaction is retried. It must not have run, and the transaction must be open.
 *
 * @param answer - the upstream's answer
 * @param attempts - attempts so far, including the failed one
 * @param deadlinePassed - whether the request's deadline has passed
 * @returns true if it is retried
 */
export function mayRetryStep (
  { failure, state }: Pick<StatementAnswer, 'failure' | 'state'>, attempts: number, deadlinePassed: boolean
): boolean {
  const wasNotRun = failure !== undefined && verdictOf(failure.kind) === 'not-run' && state === 'open'
  return wasNotRun && attempts < MAXIMUM_STEP_ATTEMPTS && !deadlinePassed
}

/**
 * Returns the label of a retry in the metrics.
 *
 * @param cause - why the attempt failed
 * @returns the kind of the failure; `connection` for any error
 */
export function retryLabel (cause: RetryCause): string {
  return cause.type === 'failure' ? cause.kind : 'connection'
}

/**
 * Returns the reason of a retry in the log.
 *
 * @param cause - why the attempt failed
 * @returns the kind of the failure, or the text of the error
 */
export function retryReason (cause: RetryCause): string {
  return cause.type === 'failure' ? cause.kind : cause.reason
}
