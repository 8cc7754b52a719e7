/** Messages between a caller's proxy and a home of a database group: requests and replies. */
import type { Answer, Statement } from '../../mysql/types.ts'
import type { SessionFloor } from '../../positions/position.ts'

/** Fields of every request. */
interface RequestBase {
  group: string
  service: string
  /** Time left until the request's deadline, in milliseconds. */
  deadlineMs: number
}

/** A statement outside a transaction. */
export interface ExecuteRequest extends RequestBase {
  type: 'execute'
  /** Name of a declared kind; without one the statement is treated as a write. */
  kind?: string
  statement: Statement
  /** What the session has already read or written; the answer must not be older. */
  floor: SessionFloor
  /** Whether the session may have written through another proxy, so that a majority must confirm the floor. */
  readIndex: boolean
  /** Request key given by the caller. */
  key?: string
}

/** Begins a transaction. */
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
  /** Request key of the transaction. */
  key: string
  /** Digest of the transaction's statements. */
  fingerprint: string
  /** Whether the transaction may have written, so that its key must be recorded in the ledger. */
  writes: boolean
}

/** Determines whether a transaction committed, after the answer to its commit was lost. */
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

/** Asks which upstream a request would run on and why, without running it. */
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
  /** New floor of the session; absent when nothing was read or written. */
  floor?: SessionFloor
  /** Upstream that served the request. */
  upstream?: string
  /** Whether the upstream was a replica. */
  fromReplica?: boolean
  /** Whether the answer was recorded by an earlier request with the same key. */
  replayed?: boolean
}
