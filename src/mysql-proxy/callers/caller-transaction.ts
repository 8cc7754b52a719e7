/** The transaction of one caller's connection: all its statements go to the home where it began. */
import { randomUUID } from 'node:crypto'
import { RequestError } from '../../core/errors/index.ts'
import { createRequestKey, fingerprintOf } from '../ledger/request-key.ts'
import type { Answer, Statement } from '../../mysql/types.ts'
import type { HomeRequests } from '../routing/home-requests.ts'

/** What every request to a home carries. */
export interface RequestBase {
  group: string
  service: string
  deadlineMs: number
}

/** Options of {@link createCallerTransactions}. */
interface CallerTransactionsOptions {
  host: string
  connectionId: number
  requests: HomeRequests
  /** What a request that declares no kind carries. */
  base: () => RequestBase
  /** Called with the floor that a commit has reached. */
  onCommitted: (floor: Awaited<ReturnType<HomeRequests['sendTo']>>['floor']) => void
}

/** A transaction that is open. */
interface OpenTransaction {
  id: string
  home: string
  statements: Statement[]
  writes: boolean
}

/** The transactions of a connection, one at a time. */
export interface CallerTransactions {
  readonly open: boolean
  begin: () => Promise<void>
  /**
   * Runs a statement in the open transaction.
   *
   * @param statement - the statement
   * @param base - what its request carries
   * @param writes - whether it may write
   * @returns the answer
   * @throws RequestError `TransactionLost` when the transaction is gone
   */
  execute: (statement: Statement, base: RequestBase, writes: boolean) => Promise<Answer>
  /**
   * Commits the open transaction, if there is one. A commit whose answer is lost is settled by its key.
   *
   * @param callersKey - the caller's own key, if it gave one
   */
  commit: (callersKey: string | undefined) => Promise<void>
  rollBack: () => Promise<void>
}

/**
 * Creates the transactions of a connection.
 *
 * @param options - the connection and the way to homes
 * @returns the transactions; none is open
 */
export function createCallerTransactions (options: CallerTransactionsOptions): CallerTransactions {
  const { host, connectionId, requests, base, onCommitted } = options
  let transaction: OpenTransaction | undefined
  let nextTransaction = 1

  const rollBack = async (): Promise<void> => {
    const ended = transaction
    transaction = undefined
    if (ended !== undefined) {
      // No log line: a home that is not reached rolls back when the link is gone, or after `transactionMs`.
      await requests.sendTo(ended.home, { ...base(), type: 'rollback', transactionId: ended.id }).catch(() => {})
    }
  }
  return {
    get open () { return transaction !== undefined },
    rollBack,
    begin: async () => {
      await rollBack()
      const id = `${host}:${connectionId}:${nextTransaction++}:${randomUUID()}`
      const { home } = await requests.send({ ...base(), type: 'begin', transactionId: id })
      transaction = { id, home, statements: [], writes: false }
    },
    execute: async (statement, statementBase, writes) => {
      const open = transaction
      if (open === undefined) {
        throw new RequestError('not-run', 'TransactionLost', { reason: 'no transaction is open' })
      }
      try {
        const request = { ...statementBase, type: 'transaction-execute', transactionId: open.id, statement } as const
        const reply = await requests.sendTo(open.home, request)
        open.statements.push(statement)
        open.writes ||= writes
        return reply.answer
      } catch (thrown) {
        if (isTransactionOver(thrown)) {
          transaction = undefined
          throw asTransactionLost(thrown)
        }
        throw thrown
      }
    },
    commit: async (callersKey) => {
      const ending = transaction
      transaction = undefined
      if (ending === undefined) {
        return
      }
      const keyed = { ...base(), key: callersKey ?? createRequestKey(), fingerprint: fingerprintOf(ending.statements) }
      try {
        const writes = ending.writes || callersKey !== undefined
        const reply = await requests.sendTo(ending.home, { ...keyed, type: 'commit', transactionId: ending.id, writes })
        onCommitted(reply.floor)
      } catch (thrown) {
        if (!(thrown instanceof RequestError) || thrown.verdict !== 'may-have-run' || !ending.writes) {
          throw isTransactionOver(thrown) ? asTransactionLost(thrown) : thrown
        }
        const { reply } = await requests.send({ ...keyed, type: 'settle' })
        onCommitted(reply.floor)
      }
    }
  }
}

/** Whether a failure means that the transaction is gone: its home or its connection is. */
function isTransactionOver (thrown: unknown): thrown is RequestError {
  return thrown instanceof RequestError &&
    ['TransactionLost', 'PeerUnavailable', 'ConnectionLost', 'UnknownGroup'].includes(thrown.entry)
}

/** An uncommitted transaction whose home is gone is rolled back, whatever the link's own verdict. */
function asTransactionLost (thrown: RequestError): RequestError {
  return thrown.entry === 'TransactionLost'
    ? thrown
    : new RequestError('not-run', 'TransactionLost', { reason: thrown.message })
}
