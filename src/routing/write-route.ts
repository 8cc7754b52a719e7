/**
 * Writes. A write that is not declared repeatable enters its key in the ledger as it commits, in its own transaction,
 * so that it runs at most once. Its answer is held back until the change is on a majority. When an answer is lost, the
 * key is contested on the current primary, which settles whether the write ran.
 */
import type { Kind } from '../core/config/index.ts'
import { RequestError, toRequestError, type Verdict } from '../core/errors/index.ts'
import { pause, type Deadline } from '../core/time/deadline.ts'
import {
  createRequestKey, fingerprintOf, parseLedgerRecord, type KeyedAttempt, type LedgerRecord
} from '../ledger/request-key.ts'
import type { Client } from '../mysql/client.ts'
import { MYSQL_ERROR } from '../mysql/consts.ts'
import type { Answer, DoneAnswer, RowsAnswer, Statement } from '../mysql/types.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import type { LogPosition } from '../upstreams/position.ts'
import { callProcedure } from '../upstreams/procedures.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import { logEnd, parseStatus, type UpstreamStatus } from '../upstreams/status.ts'
import type { HomeReply } from './types.ts'

/** What a write needs. */
export interface WriteOptions {
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

/** The primary a write goes to. */
interface Target {
  view: UpstreamView
  term: number
}

/** A write that has committed on the primary and waits for its acknowledgement. */
interface CommittedWrite {
  answer: Answer
  place: LogPosition
  replayed: boolean
}

/** How long a caller is told to stay away after a refusal, in milliseconds. */
const RETRY_AFTER_MS = 100
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
      const target = await view.primary(deadline)
      const committed = await runPlainWrite(options, target)
      await acknowledge(options, target, committed.place)
      return reply(committed, target)
    } catch (thrown) {
      if (!mayTryAgain(thrown, options)) {
        throw doubtful ? toRequestError(thrown, 'may-have-run', true) : thrown
      }
      doubtful ||= thrown instanceof RequestError && thrown.verdict === 'may-have-run'
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
        throw thrown
      }
      await pause(RETRY_PAUSE_MS)
    }
  }
}

async function attemptKeyedWrite (options: WriteOptions, attempt: KeyedAttempt): Promise<HomeReply> {
  const target = await options.view.primary(options.deadline)
  try {
    const committed = await runKeyedWrite(options, target, attempt)
    await acknowledge(options, target, committed.place)
    return reply(committed, target)
  } catch (thrown) {
    if (thrown instanceof RequestError && thrown.verdict === 'may-have-run') {
      return await settle(options, attempt)
    }
    throw thrown
  }
}

/**
 * Finds out whether an attempt ran, after its answer was lost.
 *
 * @param options - the request
 * @param attempt - its attempt
 * @returns the recorded answer when it ran
 * @throws RequestError with verdict `not-run` when it did not and never will, `may-have-run` when time ran out
 */
export async function settle (
  options: Pick<WriteOptions, 'view' | 'pools' | 'kind' | 'deadline'>, attempt: KeyedAttempt
): Promise<HomeReply> {
  const { view, deadline } = options
  while (!deadline.passed) {
    try {
      const target = await view.primary(deadline)
      const record = await contest(options, target, attempt)
      const { status } = await target.view.channel.fresh()
      await acknowledge(options, target, logEnd(status))
      return settleByRecord(record, attempt, target, logEnd(status), view.name)
    } catch (thrown) {
      throwIfFinal(thrown, view.name)
      await pause(RETRY_PAUSE_MS)
    }
  }
  throw new RequestError('may-have-run', 'NotAcknowledged', {
    group: view.name, reason: 'its outcome could not be settled in time'
  })
}

/** Throws what no further try at settling can change. */
function throwIfFinal (thrown: unknown, group: string): void {
  if (!(thrown instanceof RequestError)) {
    throw thrown
  }
  if (thrown.entry === 'TransactionLost' || thrown.entry === 'KeyReused') {
    throw thrown
  }
  if (thrown.entry === 'StatementFailed' && !isReadOnlyRefusal(thrown)) {
    throw new RequestError('may-have-run', 'NotAcknowledged', { group, reason: thrown.message })
  }
}

/**
 * Waits until a committed change may be acknowledged.
 *
 * @param options - the request
 * @param target - the primary it was committed on
 * @param place - where it stands in the log
 * @throws RequestError with verdict `may-have-run` when the term was superseded or time ran out
 */
export async function acknowledge (
  { view, kind, deadline }: Pick<WriteOptions, 'view' | 'kind' | 'deadline'>, target: Target, place: LogPosition
): Promise<void> {
  const refuse = (reason: string): RequestError =>
    new RequestError('may-have-run', 'NotAcknowledged', { group: view.name, reason })
  if (place.term !== target.term) {
    throw refuse('the primary was superseded')
  }
  const source = target.view.declaration.name
  const acknowledged = await ACKNOWLEDGEMENT_HANDLERS[kind.acknowledgement](view, place, source, deadline)
  if (!acknowledged) {
    throw refuse('the primary was superseded, or too few replicas followed in time')
  }
}

const ACKNOWLEDGEMENT_HANDLERS: Record<
  Kind['acknowledgement'],
  (view: GroupView, place: LogPosition, source: string, deadline: Deadline) => Promise<boolean>
> = {
  replicated: async (view, place, source, deadline) => await view.waitForMajority(place, source, deadline),
  confirmed: async (view, place, _source, deadline) => {
    const answers = await view.askMajority(deadline)
    return answers.every(({ status }) => status.term <= place.term && status.fencedTerm <= place.term)
  }
}

/** What came of a commit: the ledger's word, and the primary's status after it. */
export interface CommitResult {
  record: LedgerRecord
  status: UpstreamStatus
}

/** A committed statement. */
export interface CommittedStatement extends CommitResult {
  answer: Answer
}

/**
 * Commits the open transaction and enters its attempt in the ledger, in one step. When the key is taken, the
 * transaction is rolled back.
 *
 * @param client - the connection
 * @param attempt - the attempt; nothing is entered when absent
 * @param answer - the outcome to record
 * @param deadline - when to give up
 * @param lostVerdict - the verdict to give when the answer is lost
 * @returns what came of it
 */
export async function commitUnderKey (
  client: Client, attempt: KeyedAttempt | undefined, answer: Answer, deadline: Deadline, lostVerdict: Verdict
): Promise<CommitResult> {
  const outcome = answer.type === 'done' ? [answer.affectedRows, answer.insertId] : [answer.rows.length, 0]
  const call = callProcedure('commit', attempt === undefined ? [] : [...ledgerArguments(attempt), ...outcome])
  const committed = await client.run(call, deadline.leftMs, lostVerdict) as RowsAnswer
  return { record: parseLedgerRecord(committed), status: parseStatus(committed) }
}

/**
 * Runs a statement in a transaction of its own.
 *
 * @param client - the connection
 * @param statement - the statement
 * @param attempt - its attempt; nothing is entered in the ledger when absent
 * @param deadline - when to give up
 * @param lostVerdict - the verdict to give when the answer to the commit is lost
 * @returns the answer and what came of the commit
 */
export async function runAndCommit (
  client: Client, statement: Statement, attempt: KeyedAttempt | undefined, deadline: Deadline, lostVerdict: Verdict
): Promise<CommittedStatement> {
  await useManualCommit(client, true, deadline.leftMs)
  const answer = await runOrRollBack(client, statement, deadline)
  return { answer, ...await commitUnderKey(client, attempt, answer, deadline, lostVerdict) }
}

/**
 * Decides by the standing record of a key.
 *
 * @param record - the record
 * @param attempt - the attempt that met it
 * @returns the recorded answer
 * @throws RequestError with verdict `not-run`
 */
export function replayRecord (record: LedgerRecord, attempt: KeyedAttempt): DoneAnswer {
  if (record.fingerprint !== attempt.fingerprint) {
    throw new RequestError('not-run', 'KeyReused', { key: attempt.key })
  }
  return { type: 'done', affectedRows: record.affectedRows, insertId: record.insertId }
}

async function runPlainWrite (options: WriteOptions, target: Target): Promise<CommittedWrite> {
  const { deadline, statement } = options
  const { answer, status } = await onPrimary(options, target, async (client) =>
    await runAndCommit(client, statement, undefined, deadline, 'may-have-run'))
  return { answer, place: logEnd(status), replayed: false }
}

async function runKeyedWrite (options: WriteOptions, target: Target, attempt: KeyedAttempt): Promise<CommittedWrite> {
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

async function runOrRollBack (client: Client, statement: Statement, deadline: Deadline): Promise<Answer> {
  try {
    return await client.run(statement, deadline.leftMs, 'not-run')
  } catch (thrown) {
    await client.run({ sql: 'ROLLBACK' }, deadline.leftMs, 'not-run').catch(() => client.close())
    throw thrown
  }
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

/** Tries to enter a tombstone for an attempt, and returns the record that then stands. */
async function contest (
  options: Pick<WriteOptions, 'pools' | 'kind' | 'deadline' | 'view'>, target: Target, attempt: KeyedAttempt
): Promise<LedgerRecord> {
  const { deadline } = options
  return await onPrimary(options, target, async (client) => {
    const call = callProcedure('contest', ledgerArguments(attempt))
    return parseLedgerRecord(await client.run(call, deadline.leftMs, 'not-run') as RowsAnswer)
  })
}

function settleByRecord (
  record: LedgerRecord, attempt: KeyedAttempt, target: Target, floor: LogPosition, group: string
): HomeReply {
  if (record.state === 'done') {
    return reply({ answer: replayRecord(record, attempt), place: floor, replayed: true }, target)
  }
  throw new RequestError('not-run', 'TransactionLost', {
    reason: `group ${group} lost the attempt before it committed, and it can no longer commit`
  })
}

async function onPrimary<Result> (
  { pools, kind, deadline, view }: Pick<WriteOptions, 'pools' | 'kind' | 'deadline' | 'view'>,
  target: Target,
  work: (client: Client) => Promise<Result>
): Promise<Result> {
  const { name } = target.view.declaration
  const pool = pools.get(name)
  if (pool === undefined) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: view.name, reason: `${name} was removed`, retryAfterMs: RETRY_AFTER_MS
    })
  }
  try {
    return await pool.run({ access: 'write', priority: kind.priority, deadline }, async (client) => {
      if (view.leadership.term !== target.term) {
        throw new RequestError('not-run', 'ConnectionLost', { upstream: name, reason: 'it was superseded' })
      }
      return await work(client)
    })
  } catch (thrown) {
    if (thrown instanceof RequestError && thrown.entry === 'ConnectionLost') {
      view.markUnreachable(name, thrown.message)
    }
    if (thrown instanceof RequestError && isReadOnlyRefusal(thrown)) {
      await target.view.channel.fresh().catch(() => {})
    }
    throw thrown
  }
}

/** Whether the failure is one that another try can mend, and time and budget allow it. */
function mayTryAgain (thrown: unknown, { deadline, spendRetry, kind }: WriteOptions): boolean {
  if (!(thrown instanceof RequestError) || deadline.passed) {
    return false
  }
  const safe: Verdict[] = kind.repeatable ? ['not-run', 'may-have-run'] : ['not-run']
  const transient = ['ConnectionLost', 'TransactionLost', 'NotAcknowledged'].includes(thrown.entry) ||
    isReadOnlyRefusal(thrown)
  return transient && safe.includes(thrown.verdict) && spendRetry()
}

/** A fenced primary refuses writes; the view has yet to learn of its successor. */
function isReadOnlyRefusal (error: RequestError): boolean {
  return error.entry === 'StatementFailed' && error.mysqlCode === MYSQL_ERROR.readOnly
}

function reply (committed: CommittedWrite, target: Target): HomeReply {
  return {
    answer: committed.answer,
    floor: { ...committed.place, seenOn: [] },
    upstream: target.view.declaration.name,
    fromReplica: false,
    replayed: committed.replayed
  }
}

function ledgerArguments ({ scope, key, fingerprint, attempt }: KeyedAttempt): Array<string | number> {
  return [scope, key, fingerprint, attempt, Date.now()]
}
