/** Types of a run's history: the operations of callers and their outcomes. */
import type { Verdict } from '../../core/errors/index.ts'

/** Outcome of a request, as its caller saw it. */
export type Outcome =
  | { type: 'done' }
  | { type: 'refused', verdict: Verdict, message: string }

/** Operation of a caller, with what it observed. */
export type Operation =
  /** Inserts one record under a request key. */
  | { type: 'purchase', request: string }
  /** Reads the requests of its own session. */
  | { type: 'read-own', handle: 'token' | 'id' | 'connection', seen: string[] }
  /** Moves an amount between two registers and inserts two records, in one transaction. */
  | { type: 'transfer', request: string }
  /** Reads the sum of all registers in one statement. */
  | { type: 'total', total: number }
  /** Reads a number of generated rows that carry a unique mark; `foreign` counts rows with another mark. */
  | { type: 'echo', mark: string, wanted: number, received: number, foreign: number }

/** One operation of a session. */
export interface HistoryEvent {
  /** Session ID. */
  session: string
  /** Number of the operation within its session, from 0. */
  sequence: number
  proxy: number
  /** Start, in milliseconds since the start of the workload. */
  startedAt: number
  /** End, in milliseconds since the start of the workload. */
  endedAt: number
  operation: Operation
  outcome: Outcome
}

/** A record in the database at the end of a run. */
export interface FinalRecord {
  session: string
  request: string
}

/** Content of a group's database at the end of a run. */
export interface FinalState {
  records: FinalRecord[]
  /** Sum of all registers. */
  total: number
}

/** Complete history of a run, as input of the checks. */
export interface History {
  events: HistoryEvent[]
  final: FinalState
  /** Initial sum of all registers, which transfers preserve. */
  startTotal: number
}

/** A violation of a guarantee. */
export interface Violation {
  check: string
  description: string
}

/** Suffixes of the two records that a transfer inserts. */
export const TRANSFER_HALVES = ['-out', '-in'] as const
