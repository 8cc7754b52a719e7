/**
 * Transactions of a group. Each pins one connection to the primary from begin to end; the upstream rolls it back when
 * that connection closes.
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
  /** Returns the longest time that a transaction may stay open, in milliseconds. */
  maximumOpenMs: () => number
}

/** Transactions of one group at one home. */
export interface Transactions {
  begin: (id: string, service: string, deadline: Deadline) => Promise<HomeReply>
  execute: (id: string, statement: Statement, deadline: Deadline) => Promise<HomeReply>
  commit: (request: CommitRequest, deadline: Deadline) => Promise<HomeReply>
  /** Determines whether a transaction committed, after its home became unreachable. */
  settle: (request: SettleRequest, deadline: Deadline) => Promise<HomeReply>
  rollback: (id: string) => Promise<HomeReply>
  readonly openCount: number
  /** Rolls back all transactions. */
  close: () => void
}

/**
 * Creates the transaction handlers of a group.
 *
 * @param options - the group's view and connection pools, and the time limit of transactions
 * @returns the transaction handlers
 */
export function createTransactions ({ view, pools, maximumOpenMs }: TransactionsOptions): Transactions {
  const table = createTransactionTable(maximumOpenMs)
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
    get openCount () { return table.size },
    close: table.close
  }
}

/**
 * Runs a statement in a transaction. If the primary was superseded, the transaction begins again on the new primary,
 * unless a statement has already run in it.
 */
async function execute (
  group: TransactionGroup, id: string, statement: Statement, deadline: Deadline
): Promise<HomeReply> {
  const { service, statements, target } = group.table.findOrThrow(id)
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
    // Refreshes the old primary's status. A failure marks it unreachable, and the begin waits for a new primary.
    await target.view.channel.fetchStatus().catch(() => {})
    await beginTransaction(group, { id, service }, deadline)
    return await runStatement(group, id, statement, deadline)
  }
}

async function runStatement (
  { table }: TransactionGroup, id: string, statement: Statement, deadline: Deadline
): Promise<HomeReply> {
  return await table.runStep(id, async (transaction) => {
    const answer = await transaction.pinned.client.run(statement, deadline.leftMs, 'not-run')
    transaction.statements++
    return { answer, upstream: transaction.target.view.declaration.name }
  })
}
