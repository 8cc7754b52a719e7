/**
 * Serves writes. A write that isn't repeatable is committed together with its request key, so that it runs at most
 * once. The answer is returned once the write may be acknowledged; if the answer of the upstream is lost, the outcome
 * is settled by the request key (`settle.ts`).
 */
import type { Kind } from '../../core/config/index.ts'
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { pause, type Deadline } from '../../core/time/deadline.ts'
import { createRequestKey, fingerprintOf, parseLedgerRecord, type KeyedAttempt } from '../ledger/request-key.ts'
import type { Client } from '../../mysql/client.ts'
import { MYSQL_ERROR } from '../../mysql/consts.ts'
import type { RowsAnswer, Statement } from '../../mysql/types.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { callProcedure } from '../upstreams/procedures.ts'
import { logEnd, parseStatus } from '../upstreams/status.ts'
import { waitForAcknowledgement } from './acknowledgement.ts'
import { toWriteReply, answerFromRecord, runAndCommit, type CommittedWrite } from './commit.ts'
import { runOnPrimary, type WriteTarget } from './primary-work.ts'
import { settleOutcome } from './settle.ts'
import type { HomeReply } from './types.ts'
import { hasUnknownOutcome, isReadOnlyRefusal, mayRetryWrite } from './what-is-repeated.ts'

/** Options of a write. */
interface WriteOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  kind: Kind
  statement: Statement
  service: string
  /** Request key given by the caller; generated when absent. */
  key?: string
  deadline: Deadline
  /** Takes a retry from the budget; returns false when the budget is exhausted. */
  spendRetry: () => boolean
}

/** Suggested retry delay for callers while the primary of a group changes, in milliseconds. */
const SUPERSEDED_RETRY_MS = 250
/** Delay before a retry, in milliseconds. */
const RETRY_DELAY_MS = 10

/**
 * Serves a write.
 *
 * @param options - the write
 * @returns the answer and the session's new floor
 * @throws RequestError whose verdict states whether the write may have run
 */
export async function serveWrite (options: WriteOptions): Promise<HomeReply> {
  return options.kind.repeatable && options.key === undefined
    ? await serveUnkeyedWrite(options)
    : await serveKeyedWrite(options)
}

/** Runs a repeatable write without a request key, and runs it again after any transient failure. */
async function serveUnkeyedWrite (options: WriteOptions): Promise<HomeReply> {
  const { view, deadline } = options
  let mayHaveRun = false
  for (;;) {
    try {
      const target = await view.waitForPrimary(deadline)
      const committed = await runUnkeyedWrite(options, target)
      await waitForAcknowledgement(options, target, committed.position)
      return toWriteReply(committed, target)
    } catch (thrown) {
      if (!mayRetry(thrown, options)) {
        throw mayHaveRun ? toRequestError(thrown, 'may-have-run', true) : thrown
      }
      mayHaveRun ||= hasUnknownOutcome(thrown)
      await pause(RETRY_DELAY_MS)
    }
  }
}

async function serveKeyedWrite (options: WriteOptions): Promise<HomeReply> {
  const attempt: KeyedAttempt = {
    scope: options.service,
    key: options.key ?? createRequestKey(),
    fingerprint: fingerprintOf([options.statement]),
    attempt: 1
  }
  for (;;) {
    try {
      return await attemptKeyedWrite(options, attempt)
    } catch (thrown) {
      if (!(thrown instanceof RequestError) || thrown.verdict !== 'not-run' || !mayRetry(thrown, options)) {
        throw isReadOnlyRefusal(thrown) ? supersededError(options.view.name) : thrown
      }
      await pause(RETRY_DELAY_MS)
    }
  }
}

async function attemptKeyedWrite (options: WriteOptions, attempt: KeyedAttempt): Promise<HomeReply> {
  const target = await options.view.waitForPrimary(options.deadline)
  try {
    const committed = await runKeyedWrite(options, target, attempt)
    await waitForAcknowledgement(options, target, committed.position)
    return toWriteReply(committed, target)
  } catch (thrown) {
    if (hasUnknownOutcome(thrown)) {
      return await settleOutcome(options, attempt)
    }
    throw thrown
  }
}

async function runUnkeyedWrite (options: WriteOptions, target: WriteTarget): Promise<CommittedWrite> {
  const { deadline, statement } = options
  const { answer, status } = await runOnPrimary(options, target, async (client) =>
    await runAndCommit(client, statement, undefined, deadline, 'may-have-run'))
  return { answer, position: logEnd(status), replayed: false }
}

async function runKeyedWrite (
  options: WriteOptions, target: WriteTarget, attempt: KeyedAttempt
): Promise<CommittedWrite> {
  return await runOnPrimary(options, target, async (client) => {
    try {
      return await runAttempt(options, client, attempt)
    } catch (thrown) {
      const replayed = await findReplay(options, client, attempt, thrown)
      if (replayed !== undefined) {
        return replayed
      }
      throw thrown
    }
  })
}

async function runAttempt (options: WriteOptions, client: Client, attempt: KeyedAttempt): Promise<CommittedWrite> {
  const { deadline, statement } = options
  const { answer, record, status } = await runAndCommit(client, statement, attempt, deadline, 'may-have-run')
  if (record.outcome !== 'exists') {
    return { answer, position: logEnd(status), replayed: false }
  }
  const wasGivenUp = record.state === 'tombstone' && record.fingerprint === attempt.fingerprint
  if (wasGivenUp) {
    attempt.attempt = record.attempt + 1
    return await runAttempt(options, client, attempt)
  }
  return { answer: answerFromRecord(record, attempt), position: logEnd(status), replayed: true }
}

/**
 * Looks for a record of an earlier attempt after a statement failed. A repeated write can fail because the first one
 * succeeded, for example with a duplicate key error.
 */
async function findReplay (
  { deadline }: WriteOptions, client: Client, attempt: KeyedAttempt, thrown: unknown
): Promise<CommittedWrite | undefined> {
  if (!(thrown instanceof RequestError) || thrown.entry !== 'StatementFailed') {
    return undefined
  }
  if (thrown.mysqlCode === MYSQL_ERROR.readOnly) {
    return undefined
  }
  const call = callProcedure('find', [attempt.scope, attempt.key])
  const found = await client.run(call, deadline.leftMs, 'not-run') as RowsAnswer
  const record = parseLedgerRecord(found)
  if (record.outcome !== 'exists' || record.state !== 'done') {
    return undefined
  }
  return { answer: answerFromRecord(record, attempt), position: logEnd(parseStatus(found)), replayed: true }
}

/** Creates the error of a write when no new primary was found in time. */
function supersededError (group: string): RequestError {
  return new RequestError('not-run', 'NoUpstream', {
    group, reason: 'its primary was superseded and no other is known yet', retryAfterMs: SUPERSEDED_RETRY_MS
  })
}

/** Whether the failure, the deadline and the retry budget allow a retry. */
function mayRetry (thrown: unknown, { deadline, spendRetry, kind }: WriteOptions): boolean {
  return !deadline.passed && mayRetryWrite(thrown, kind.repeatable) && spendRetry()
}
