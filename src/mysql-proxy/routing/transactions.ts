/**
 * Transactions. Each holds one connection to the primary from its first statement to its end, so that no other
 * statement runs in between. When its connection, its caller's proxy or its home goes, the upstream rolls it back.
 * Relies on `transaction-table.ts` for the open ones, and on `begin-transaction.ts` and `commit-transaction.ts`.
 */
import type { Deadline } from '../../core/time/deadline.ts'
import { EMPTY_ANSWER, type Statement } from '../../mysql/types.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { beginTransaction } from './begin-transaction.ts'
import { COMMIT_KIND, commitTransaction, settleTransaction, type TransactionGroup } from './commit-transaction.ts'
import { createTransactionTable, transactionLost } from './transaction-table.ts'
import type { CommitRequest, HomeReply, SettleRequest } from './types.ts'
import { isTransactionSuperseded } from './what-is-repeated.ts'

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

/**
 * Creates the transactions of a group.
 *
 * @param options - the group and its connections
 * @returns the transactions, none open
 */
export function createTransactions ({ view, pools, greatestMs }: TransactionsOptions): Transactions {
  const table = createTransactionTable(greatestMs)
  const group: TransactionGroup = { view, pools, table }
  return {
    begin: async (id, service, deadline) => await beginTransaction(group, { id, service }, deadline),
    execute: async (id, statement, deadline) => await execute(group, id, statement, deadline),
    commit: async (request, deadline) => await commitTransaction(group, request, deadline),
    settle: async (request, deadline) => await settleTransaction(group, request, deadline),
    rollback: async (id) => {
      const transaction = table.get(id)
      if (transaction !== undefined) {
        const rolledBack = transaction.pinned.client.run({ sql: 'ROLLBACK' }, COMMIT_KIND.deadlineMs, 'not-run')
        await rolledBack.then(() => table.end(id, true), () => table.end(id, false))
      }
      return { answer: EMPTY_ANSWER }
    },
    get open () { return table.size },
    close: table.close
  }
}

/**
 * A transaction whose primary is gone begins again on the next one when nothing has run in it, and is lost otherwise.
 */
async function execute (
  group: TransactionGroup, id: string, statement: Statement, deadline: Deadline
): Promise<HomeReply> {
  const { service, statements, target } = group.table.find(id)
  try {
    return await runStatement(group, id, statement, deadline)
  } catch (thrown) {
    if (!isTransactionSuperseded(thrown)) {
      throw thrown
    }
    group.table.end(id, false)
    if (statements > 0) {
      throw transactionLost('its primary was superseded')
    }
    // A primary that does not answer is marked by the channel's own failure; the begin waits for the next one.
    await target.view.channel.fetchStatus().catch(() => {})
    await beginTransaction(group, { id, service }, deadline)
    return await runStatement(group, id, statement, deadline)
  }
}

async function runStatement (
  { table }: TransactionGroup, id: string, statement: Statement, deadline: Deadline
): Promise<HomeReply> {
  return await table.step(id, async (transaction) => {
    const answer = await transaction.pinned.client.run(statement, deadline.leftMs, 'not-run')
    transaction.statements++
    return { answer, upstream: transaction.target.view.declaration.name }
  })
}
