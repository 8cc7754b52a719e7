/**
 * Transactions. Each holds one connection to the primary from its first statement to its end, so that nobody else's
 * statement can come in between. When its connection, its caller's proxy or its home goes, the upstream rolls it back.
 */
import type { Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { Deadline, pause } from '../../core/time/deadline.ts'
import type { KeyedAttempt } from '../ledger/request-key.ts'
import { EMPTY_ANSWER, type Statement } from '../../mysql/types.ts'
import type { ConnectionPool, PinnedConnection } from '../upstreams/connection-pool.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import { logEnd } from '../upstreams/status.ts'
import { acknowledge } from './acknowledgement.ts'
import { commitUnderKey, replayRecord } from './commit.ts'
import { isReadOnlyRefusal } from './primary-work.ts'
import { settle } from './settle.ts'
import type { CommitRequest, HomeReply, SettleRequest } from './types.ts'

/** An open transaction. */
interface OpenTransaction {
  service: string
  pinned: PinnedConnection
  target: { view: UpstreamView, term: number }
  /** Statements that have run. */
  statements: number
  /** Whether a statement or the end is in progress. */
  busy: boolean
  expiry: NodeJS.Timeout
}

/** Options of {@link createTransactions}. */
interface TransactionsOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  /** Greatest time a transaction may stay open, in milliseconds. */
  greatestMs: () => number
}

/** The transactions of one group at one home. */
export interface Transactions {
  begin: (id: string, service: string, deadline: Deadline) => Promise<HomeReply>
  execute: (id: string, statement: Statement, deadline: Deadline) => Promise<HomeReply>
  commit: (request: CommitRequest, deadline: Deadline) => Promise<HomeReply>
  /** Finds out whether a transaction committed whose home was lost in the middle of it. */
  settle: (request: SettleRequest, deadline: Deadline) => Promise<HomeReply>
  rollback: (id: string) => Promise<HomeReply>
  readonly open: number
  /** Rolls everything back. */
  close: () => void
}

/** Pause before a begin is tried again, in milliseconds: word of a new primary is on its way. */
const BEGIN_RETRY_MS = 20
const TRANSACTION_PRIORITY = 5
/** How a commit is acknowledged and queued while its outcome is settled. */
const COMMIT_KIND: Kind = {
  access: 'write',
  acknowledgement: 'replicated',
  repeatable: false,
  maximumAgeMs: 0,
  deadlineMs: 5000,
  priority: 9
}

/**
 * Creates the transactions of a group.
 *
 * @param options - the group and its connections
 * @returns the transactions, none open
 */
export function createTransactions (options: TransactionsOptions): Transactions {
  const { view, pools } = options
  const open = new Map<string, OpenTransaction>()

  const find = (id: string): OpenTransaction => {
    const transaction = open.get(id)
    if (transaction === undefined) {
      throw lost('it is not open here any more')
    }
    return transaction
  }

  const end = (id: string, reuse: boolean): void => {
    const transaction = open.get(id)
    if (transaction !== undefined) {
      open.delete(id)
      clearTimeout(transaction.expiry)
      transaction.pinned.release(reuse)
    }
  }

  /** Runs one step; when the connection breaks in it, the transaction is over. */
  const step = async <Result>(id: string, work: (transaction: OpenTransaction) => Promise<Result>): Promise<Result> => {
    const transaction = find(id)
    if (transaction.busy) {
      throw lost('two statements came at once')
    }
    transaction.busy = true
    try {
      return await work(transaction)
    } catch (thrown) {
      if (!transaction.pinned.client.usable && thrown instanceof RequestError && thrown.verdict === 'not-run') {
        end(id, false)
        throw lost(thrown.message)
      }
      throw thrown
    } finally {
      transaction.busy = false
    }
  }

  const beginOnce = async (id: string, service: string, deadline: Deadline): Promise<HomeReply> => {
    const target = await view.primary(deadline)
    const pool = pools.get(target.view.declaration.name)
    if (pool === undefined) {
      throw lost('its upstream was removed')
    }
    const pinned = await pool.pin({ access: 'write', priority: TRANSACTION_PRIORITY, deadline })
    try {
      await useManualCommit(pinned.client, true, deadline.leftMs)
    } catch (thrown) {
      pinned.release(false)
      throw thrown
    }
    const expiry = setTimeout(() => end(id, false), options.greatestMs())
    open.set(id, { service, pinned, target, statements: 0, busy: false, expiry })
    return { answer: EMPTY_ANSWER, upstream: target.view.declaration.name }
  }

  /** Nothing has run when a connection breaks in a begin, as it does when the primary changes: it is tried again. */
  const begin = async (id: string, service: string, deadline: Deadline): Promise<HomeReply> => {
    for (;;) {
      try {
        return await beginOnce(id, service, deadline)
      } catch (thrown) {
        const broken = thrown instanceof RequestError && thrown.entry === 'ConnectionLost' && thrown.verdict === 'not-run'
        if (!broken || deadline.leftMs < BEGIN_RETRY_MS * 2) {
          throw thrown
        }
        await pause(BEGIN_RETRY_MS)
      }
    }
  }

  const runStatement = async (id: string, statement: Statement, deadline: Deadline): Promise<HomeReply> =>
    await step(id, async (transaction) => {
      const answer = await transaction.pinned.client.run(statement, deadline.leftMs, 'not-run')
      transaction.statements++
      return { answer, upstream: transaction.target.view.declaration.name }
    })

  const commit = async (request: CommitRequest, deadline: Deadline): Promise<HomeReply> => {
    const id = request.transactionId
    const attempt = attemptOf(request)
    try {
      const reply = await step(id, async (transaction) => await commitStep(transaction, request, attempt, deadline))
      end(id, true)
      return reply
    } catch (thrown) {
      end(id, false)
      if (thrown instanceof RequestError && thrown.verdict === 'may-have-run') {
        return await settle({ view, pools, kind: COMMIT_KIND, deadline }, attempt)
      }
      if (thrown instanceof RequestError && thrown.entry === 'StatementFailed') {
        throw lost(thrown.message)
      }
      throw thrown
    }
  }

  const commitStep = async (
    { pinned, target }: OpenTransaction, { writes }: CommitRequest, attempt: KeyedAttempt, deadline: Deadline
  ): Promise<HomeReply> => {
    const upstream = target.view.declaration.name
    if (!writes) {
      await pinned.client.run({ sql: 'COMMIT' }, deadline.leftMs, 'not-run')
      return { answer: EMPTY_ANSWER, upstream }
    }
    const { record, status } = await commitUnderKey(pinned.client, attempt, EMPTY_ANSWER, deadline, 'may-have-run')
    if (record.outcome === 'exists' && record.state === 'tombstone') {
      throw lost('an earlier attempt under its key was given up; send the transaction again under a new key')
    }
    if (record.outcome === 'exists') {
      replayRecord(record, attempt)
    }
    await acknowledge({ view, kind: COMMIT_KIND, deadline }, target, logEnd(status))
    return { answer: EMPTY_ANSWER, floor: { ...logEnd(status), seenOn: [] }, upstream, replayed: record.outcome === 'exists' }
  }

  return {
    begin,
    commit,
    settle: async (request, deadline) =>
      await settle({ view, pools, kind: COMMIT_KIND, deadline }, attemptOf(request)),
    execute: async (id, statement, deadline) => {
      const { service, statements, target } = find(id)
      try {
        return await runStatement(id, statement, deadline)
      } catch (thrown) {
        if (!isSuperseded(thrown)) {
          throw thrown
        }
        end(id, false)
        if (statements > 0) {
          throw lost('its primary was superseded')
        }
        await target.view.channel.fresh().catch(() => {})
        await begin(id, service, deadline)
        return await runStatement(id, statement, deadline)
      }
    },
    rollback: async (id) => {
      const transaction = open.get(id)
      if (transaction !== undefined) {
        const rolledBack = transaction.pinned.client.run({ sql: 'ROLLBACK' }, COMMIT_KIND.deadlineMs, 'not-run')
        await rolledBack.then(() => end(id, true), () => end(id, false))
      }
      return { answer: EMPTY_ANSWER }
    },
    get open () { return open.size },
    close: () => [...open.keys()].forEach((id) => end(id, false))
  }
}

/** Whether the primary of a transaction is gone; one in which nothing has run yet can begin again elsewhere. */
function isSuperseded (thrown: unknown): boolean {
  return thrown instanceof RequestError && (isReadOnlyRefusal(thrown) || thrown.entry === 'TransactionLost')
}

function attemptOf ({ service, key, fingerprint }: CommitRequest | SettleRequest): KeyedAttempt {
  return { scope: service, key, fingerprint, attempt: 1 }
}

function lost (reason: string): RequestError {
  return new RequestError('not-run', 'TransactionLost', { reason })
}
