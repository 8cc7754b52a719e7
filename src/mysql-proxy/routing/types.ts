/** Requests from a caller's proxy to the home of a database group, and the replies. */
import type { Answer, Statement } from '../../mysql/types.ts'
import type { SessionFloor } from '../../positions/position.ts'

/** What every request carries. */
interface RequestBase {
  group: string
  service: string
  /** Time left to the request, in milliseconds. */
  deadlineMs: number
}

/** A statement outside a transaction. */
export interface ExecuteRequest extends RequestBase {
  type: 'execute'
  /** Name of the declared kind; a write when absent. */
  kind?: string
  statement: Statement
  /** What the session has seen. */
  floor: SessionFloor
  /** Whether the session may have written through another proxy, so that a majority must be asked. */
  readIndex: boolean
  /** The caller's request key. */
  key?: string
}

/** Opens a transaction. */
interface BeginRequest extends RequestBase {
  type: 'begin'
  transactionId: string
}

/** A statement inside a transaction. */
interface TransactionRequest extends RequestBase {
  type: 'transaction-execute'
  transactionId: string
  statement: Statement
}

/** Commits a transaction. */
export interface CommitRequest extends RequestBase {
  type: 'commit'
  transactionId: string
  /** Key of the transaction. */
  key: string
  /** Digest of its statements. */
  fingerprint: string
  /** Whether it may have written, so that its key must be entered in the ledger. */
  writes: boolean
}

/** Finds out whether a transaction committed, after the answer to its commit was lost. */
export interface SettleRequest extends RequestBase {
  type: 'settle'
  key: string
  fingerprint: string
}

/** Rolls a transaction back. */
interface RollbackRequest extends RequestBase {
  type: 'rollback'
  transactionId: string
}

/** Says which upstream a request would get, and why, without running it. */
export interface ExplainRequest extends RequestBase {
  type: 'explain'
  kind?: string
  floor: SessionFloor
}

/** Any request to a home. */
export type HomeRequest =
  | ExecuteRequest | BeginRequest | TransactionRequest | CommitRequest | RollbackRequest | SettleRequest
  | ExplainRequest

/** A reply to a request that succeeded. */
export interface HomeReply {
  answer: Answer
  /** What the session has now seen; absent when nothing was read or written. */
  floor?: SessionFloor
  /** Upstream that served it. */
  upstream?: string
  /** Whether the upstream was a replica. */
  fromReplica?: boolean
  /** Whether the answer is the recorded one of an earlier request with the same key. */
  replayed?: boolean
}
