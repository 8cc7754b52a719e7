/**
 * Writes. A write that is not declared repeatable enters its key in the ledger as it commits, in its own transaction,
 * so that it runs at most once. Its answer is held back until the change is on a majority. When an answer is lost, the
 * key is contested on the current primary, which settles whether the write ran. The rules are in `what-is-repeated.ts`,
 * `acknowledgement.ts` and `settle.ts`.
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
import { acknowledge } from './acknowledgement.ts'
import { describeWrite, replayRecord, runAndCommit, type CommittedWrite } from './commit.ts'
import { onPrimary, type WriteTarget } from './primary-work.ts'
import { settle } from './settle.ts'
import type { HomeReply } from './types.ts'
import { isDoubtful, isReadOnlyRefusal, mayRepeatWrite } from './what-is-repeated.ts'

/** What a write needs. */
interface WriteOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  kind: Kind
  statement: Statement
  service: string
  /** The caller's key; one is made when absent. */
  key?: string
  deadline: Deadline
  /** Takes a retry from the budget. */
  spendRetry: () => boolean
}

/** Time after which a caller should come back while a group changes its primary, in milliseconds. */
const SUPERSEDED_RETRY_MS = 250
/** Pause before another try, in milliseconds. */
const RETRY_PAUSE_MS = 10

/**
 * Serves a write.
 *
 * @param options - the write
 * @returns answer and the place in the log the session has now seen
 * @throws RequestError whose verdict says whether the write may have run
 */
export async function serveWrite (options: WriteOptions): Promise<HomeReply> {
  return options.kind.repeatable && options.key === undefined
    ? await servePlainWrite(options)
    : await serveKeyedWrite(options)
}

/** An idempotent write: after any loss it is simply run again, within deadline and budget. */
async function servePlainWrite (options: WriteOptions): Promise<HomeReply> {
  const { view, deadline } = options
  let doubtful = false
  for (;;) {
    try {
      const target = await view.waitForPrimary(deadline)
      const committed = await runPlainWrite(options, target)
      await acknowledge(options, target, committed.place)
      return describeWrite(committed, target)
    } catch (thrown) {
      if (!mayTryAgain(thrown, options)) {
        throw doubtful ? toRequestError(thrown, 'may-have-run', true) : thrown
      }
      doubtful ||= isDoubtful(thrown)
      await pause(RETRY_PAUSE_MS)
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
      if (!(thrown instanceof RequestError) || thrown.verdict !== 'not-run' || !mayTryAgain(thrown, options)) {
        throw isReadOnlyRefusal(thrown) ? superseded(options.view.name) : thrown
      }
      await pause(RETRY_PAUSE_MS)
    }
  }
}

async function attemptKeyedWrite (options: WriteOptions, attempt: KeyedAttempt): Promise<HomeReply> {
  const target = await options.view.waitForPrimary(options.deadline)
  try {
    const committed = await runKeyedWrite(options, target, attempt)
    await acknowledge(options, target, committed.place)
    return describeWrite(committed, target)
  } catch (thrown) {
    if (isDoubtful(thrown)) {
      return await settle(options, attempt)
    }
    throw thrown
  }
}

async function runPlainWrite (options: WriteOptions, target: WriteTarget): Promise<CommittedWrite> {
  const { deadline, statement } = options
  const { answer, status } = await onPrimary(options, target, async (client) =>
    await runAndCommit(client, statement, undefined, deadline, 'may-have-run'))
  return { answer, place: logEnd(status), replayed: false }
}

async function runKeyedWrite (
  options: WriteOptions, target: WriteTarget, attempt: KeyedAttempt
): Promise<CommittedWrite> {
  return await onPrimary(options, target, async (client) => {
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
    return { answer, place: logEnd(status), replayed: false }
  }
  const givenUpEarlier = record.state === 'tombstone' && record.fingerprint === attempt.fingerprint
  if (givenUpEarlier) {
    attempt.attempt = record.attempt + 1
    return await runAttempt(options, client, attempt)
  }
  return { answer: replayRecord(record, attempt), place: logEnd(status), replayed: true }
}

/** A repetition may fail where the first run succeeded, by a unique key for one; then the record is the answer. */
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
  return { answer: replayRecord(record, attempt), place: logEnd(parseStatus(found)), replayed: true }
}

/** Error of a write when no successor of a fenced primary was found in time. */
function superseded (group: string): RequestError {
  return new RequestError('not-run', 'NoUpstream', {
    group, reason: 'its primary was superseded and no other is known yet', retryAfterMs: SUPERSEDED_RETRY_MS
  })
}

/** Whether the failure allows another try, and time and budget do. */
function mayTryAgain (thrown: unknown, { deadline, spendRetry, kind }: WriteOptions): boolean {
  return !deadline.passed && mayRepeatWrite(thrown, kind.repeatable) && spendRetry()
}
