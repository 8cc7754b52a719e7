/** Transactions of one caller's connection. All statements of a transaction go to the home where it began. */
import { randomUUID } from 'node:crypto'
import { RequestError } from '../../core/errors/index.ts'
import { createRequestKey, fingerprintOf } from '../ledger/request-key.ts'
import type { Answer, Statement } from '../../mysql/types.ts'
import type { HomeRequests } from '../routing/home-requests.ts'

/** Fields of every request to a home. */
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
  /** Returns the fields of a request without a declared kind. */
  base: () => RequestBase
  /** Called with the floor of the session after each commit. */
  onCommitted: (floor: Awaited<ReturnType<HomeRequests['sendTo']>>['floor']) => void
}

/** An open transaction. */
interface OpenTransaction {
  id: string
  /** Host on which the transaction began. */
  home: string
  /** Executed statements, for the fingerprint of the commit. */
  statements: Statement[]
  /** Whether a statement may have written. */
  writes: boolean
}

/** Transactions of a connection; at most one is open. */
export interface CallerTransactions {
  readonly open: boolean
  /** Begins a transaction; rolls an open one back first. */
  begin: () => Promise<void>
  /**
   * Runs a statement in the open transaction.
   *
   * @param statement - the statement
   * @param base - fields of the request
   * @param writes - whether the statement may write
   * @returns the answer
   * @throws RequestError `TransactionLost` when no transaction is open, or when its home or connection is lost
   */
  execute: (statement: Statement, base: RequestBase, writes: boolean) => Promise<Answer>
  /**
   * Commits the open transaction, if any. If the answer to the commit of a write is lost, its outcome is determined
   * by the request key.
   *
   * @param callersKey - request key of the caller, if any
   */
  commit: (callersKey: string | undefined) => Promise<void>
  /** Rolls the open transaction back, if any. */
  rollBack: () => Promise<void>
}

/**
 * Creates the transactions of a connection.
 *
 * @param options - the connection and the sender of requests to homes
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
      // Not logged: an unreachable home rolls back when the link closes, or after `transactionMs`.
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
        if (endsTransaction(thrown)) {
          transaction = undefined
          throw toTransactionLostError(thrown)
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
          throw endsTransaction(thrown) ? toTransactionLostError(thrown) : thrown
        }
        const { reply } = await requests.send({ ...keyed, type: 'settle' })
        onCommitted(reply.floor)
      }
    }
  }
}

/** Whether an error means that the transaction is lost, together with its home or its connection. */
function endsTransaction (thrown: unknown): thrown is RequestError {
  return thrown instanceof RequestError &&
    ['TransactionLost', 'PeerUnavailable', 'ConnectionLost', 'UnknownGroup'].includes(thrown.entry)
}

/** Converts an error to `TransactionLost` with verdict `not-run`, since an uncommitted transaction is rolled back. */
function toTransactionLostError (thrown: RequestError): RequestError {
  return thrown.entry === 'TransactionLost'
    ? thrown
    : new RequestError('not-run', 'TransactionLost', { reason: thrown.message })
}
