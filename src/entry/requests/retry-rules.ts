/**
 * What is repeated, where, how often and after which pause.
 *
 * Inputs: the answer's failure or the error of an attempt; attempts so far; the time left of the deadline, in
 * milliseconds; the retry budget. What has certainly not run is repeated within the limits below. A read that may have
 * run is repeated as far as the budget allows, since it changes nothing. A write or a commit that may have run is never
 * repeated. The beginning of a transaction keeps nothing when it fails, so it is repeated whatever became of it.
 */
import type { ErrorName, RequestError } from '../../core/errors/index.ts'
import { verdictOf, type FailureKind, type StatementAnswer } from '../ports/index.ts'

/** Attempts of a read, or of the beginning of a transaction. */
const READ_ATTEMPTS = 6
/** Attempts of a write whose errors say that it has certainly not run. */
const WRITE_ATTEMPTS = 6
/** Attempts of a statement inside a transaction that the upstream did not run. */
const STATEMENT_ATTEMPTS = 4
/**
 * Pause before a statement is repeated that an upstream did not run, in milliseconds; also given to callers and hosts
 * that may come back at once.
 */
export const NOT_RUN_PAUSE_MS = 25

/** Why an attempt failed: the upstream's failure, or an error on the way there with its text for the log. */
export type RetryCause =
  | { type: 'failure', kind: FailureKind }
  | { type: 'error', error: Pick<RequestError, 'entry' | 'verdict'>, reason: string }

/** Verdict on a failed attempt. */
type RetryDecision =
  /** The answer, or the error, goes to the caller. */
  | { action: 'give-up' }
  | {
    action: 'repeat'
    /** Whether the upstream that was tried is left out from then on. */
    elsewhere: boolean
    /** Whether the attempt may have run, and so counts against the organisation's limit by itself. */
    mayHaveRun: boolean
    pauseMs: number
  }

const GIVE_UP: RetryDecision = { action: 'give-up' }

/** What a failure of an attempt of a read means: it is repeated at another upstream, or at any. Others are final. */
const REPEATED_READS: Partial<Record<FailureKind, 'elsewhere' | 'anywhere'>> = {
  busy: 'elsewhere',
  lagging: 'elsewhere',
  misrouted: 'elsewhere',
  'read-only': 'elsewhere',
  failed: 'elsewhere',
  timeout: 'elsewhere',
  'unknown-statement': 'anywhere'
}
/** Failures of reads whose repetition takes from the retry budget: the read has run. */
const BUDGETED_READS: ReadonlySet<FailureKind> = new Set(['failed', 'timeout'])
/** Failures after which a write that was not run is sent again. */
const REPEATED_WRITES: ReadonlySet<FailureKind> = new Set(['busy', 'read-only', 'unknown-statement', 'misrouted'])
/** Errors of an attempt that has not run anything, after which another way to the primary may do. */
const OTHER_WAY_MAY_DO: ReadonlySet<ErrorName> = new Set<ErrorName>(['PeerUnavailable', 'NoUpstream', 'ConnectionLost'])

/** State of a read after an attempt. */
export interface ReadAttempt {
  /** Attempts so far. */
  attempts: number
  /** Whether only the primary may serve it. */
  primaryOnly: boolean
  deadlinePassed: boolean
  /** Takes a retry from the budget; returns whether there was one. Called only when nothing else forbids a retry. */
  spendBudget: () => boolean
}

/**
 * Decides on a read after an attempt that failed. The loss of a home reveals nothing about the upstream, which stays
 * eligible.
 *
 * @param cause - the failure or the error
 * @param attempt - state of the read
 * @returns the decision
 */
export function decideRead (cause: RetryCause, attempt: ReadAttempt): RetryDecision {
  return cause.type === 'failure'
    ? decideReadFailure(cause.kind, attempt)
    : decideReadError(cause.error, attempt)
}

function decideReadFailure (kind: FailureKind, { attempts, primaryOnly, spendBudget }: ReadAttempt): RetryDecision {
  const repeated = REPEATED_READS[kind]
  if (repeated === undefined || attempts >= READ_ATTEMPTS || (BUDGETED_READS.has(kind) && !spendBudget())) {
    return GIVE_UP
  }
  return {
    action: 'repeat',
    elsewhere: repeated === 'elsewhere',
    mayHaveRun: verdictOf(kind) !== 'not-run',
    pauseMs: kind === 'busy' || primaryOnly ? NOT_RUN_PAUSE_MS : 0
  }
}

function decideReadError (
  { entry, verdict }: Pick<RequestError, 'entry' | 'verdict'>, { attempts, deadlinePassed, spendBudget }: ReadAttempt
): RetryDecision {
  const mayHaveRun = verdict !== 'not-run'
  if (attempts >= READ_ATTEMPTS || deadlinePassed || (mayHaveRun && !spendBudget())) {
    return GIVE_UP
  }
  return { action: 'repeat', elsewhere: entry !== 'PeerUnavailable', mayHaveRun, pauseMs: 0 }
}

/**
 * Decides on a write after an attempt.
 *
 * @param cause - the failure or the error
 * @param attempts - attempts so far
 * @param leftMs - time left of the deadline, in milliseconds
 * @returns the decision
 */
export function decideWrite (cause: RetryCause, attempts: number, leftMs: number): RetryDecision {
  const mayRepeat = cause.type === 'failure'
    ? REPEATED_WRITES.has(cause.kind)
    : cause.error.verdict === 'not-run' && OTHER_WAY_MAY_DO.has(cause.error.entry) && attempts < WRITE_ATTEMPTS
  if (!mayRepeat || leftMs < NOT_RUN_PAUSE_MS * 2) {
    return GIVE_UP
  }
  return { action: 'repeat', elsewhere: false, mayHaveRun: false, pauseMs: NOT_RUN_PAUSE_MS }
}

/** State of the beginning of a transaction after an attempt. */
interface BeginAttempt {
  attempts: number
  deadlinePassed: boolean
  /** Whether a home was asked. */
  throughHome: boolean
}

/**
 * Decides on the beginning of a transaction after an attempt. A host that has too much work, or no way to the primary
 * of its own, is final; a home that has none is not.
 *
 * @param cause - the failure or the error
 * @param attempt - state of the beginning
 * @returns the decision
 */
export function decideBegin (
  cause: RetryCause, { attempts, deadlinePassed, throughHome }: BeginAttempt
): RetryDecision {
  const entry = cause.type === 'error' ? cause.error.entry : undefined
  const isFinal = entry === 'Overloaded' || (entry === 'NoUpstream' && !throughHome)
  if (isFinal || attempts >= READ_ATTEMPTS || (cause.type === 'error' && deadlinePassed)) {
    return GIVE_UP
  }
  return { action: 'repeat', elsewhere: entry !== 'PeerUnavailable', mayHaveRun: false, pauseMs: NOT_RUN_PAUSE_MS }
}

/**
 * Decides whether a statement inside a transaction is repeated: one that was not run and left the transaction open.
 *
 * @param answer - the upstream's answer
 * @param attempts - attempts so far
 * @param deadlinePassed - whether the request's time is over
 * @returns whether it is
 */
export function mayRepeatStep (
  { failure, state }: Pick<StatementAnswer, 'failure' | 'state'>, attempts: number, deadlinePassed: boolean
): boolean {
  const wasNotRun = failure !== undefined && verdictOf(failure.kind) === 'not-run' && state === 'open'
  return wasNotRun && attempts < STATEMENT_ATTEMPTS && !deadlinePassed
}

/**
 * Returns the label of a retry in the metrics.
 *
 * @param cause - why an attempt is repeated
 * @returns the kind of the failure; `connection` for an error
 */
export function retryLabel (cause: RetryCause): string {
  return cause.type === 'failure' ? cause.kind : 'connection'
}

/**
 * Returns the reason of a retry in the log.
 *
 * @param cause - why an attempt is repeated
 * @returns the kind of the failure, or the text of the error
 */
export function retryReason (cause: RetryCause): string {
  return cause.type === 'failure' ? cause.kind : cause.reason
}
