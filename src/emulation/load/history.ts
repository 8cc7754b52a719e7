/** What callers did and saw. */
import type { Verdict } from '../../core/errors/index.ts'

/** How a request ended for its caller. */
export type Outcome =
  | { type: 'done' }
  | { type: 'refused', verdict: Verdict, message: string }

/** What a caller did. */
export type Operation =
  /** Inserted one record under a request key. */
  | { type: 'purchase', request: string }
  /** Read the requests of its own session. */
  | { type: 'read-own', handle: 'token' | 'id' | 'connection', seen: string[] }
  /** Moved an amount between two registers and left two records, in a transaction. */
  | { type: 'transfer', request: string }
  /** Read all registers at once. */
  | { type: 'total', total: number }
  /** Asked for a number of rows that carry a mark of its own. */
  | { type: 'echo', mark: string, wanted: number, received: number, foreign: number }

/** One request of a caller. */
export interface HistoryEvent {
  /** Identity of the session. */
  session: string
  /** Count of the requests of the session. */
  sequence: number
  proxy: number
  /** Start, in milliseconds since the run began. */
  startedAt: number
  /** End, in milliseconds since the run began. */
  endedAt: number
  operation: Operation
  outcome: Outcome
}

/** A record the group holds in the end. */
export interface FinalRecord {
  session: string
  request: string
}

/** What the group holds in the end. */
export interface FinalState {
  records: FinalRecord[]
  /** Sum of all registers. */
  total: number
}

/** A run that can be checked. */
export interface History {
  events: HistoryEvent[]
  final: FinalState
  /** Sum of all registers at the start, which transfers keep. */
  startTotal: number
}

/** A promise that was broken. */
export interface Violation {
  check: string
  description: string
}

/** Suffixes of the two records that a transfer leaves. */
export const TRANSFER_HALVES = ['-out', '-in'] as const
