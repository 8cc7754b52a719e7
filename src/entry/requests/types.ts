/** Types of serving callers. */
import type { StatementCosts } from './statement-costs.ts'
import type { RetryBudget } from '../../retries/retry-budget.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import type { FreshnessService } from '../freshness/index.ts'
import type { Limits } from '../limits/index.ts'
import type { Leadership } from '../leadership/index.ts'
import type { Pools, UsedUpstream } from '../pools/index.ts'
import type { Homes } from '../homes/index.ts'
import type { Access, PreparedShape } from '../ports/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'

/** What serving a request needs from the rest of the process. */
export interface EntryContext {
  pools: Pools
  homes: Homes
  directory: Directory
  leadership: Leadership
  limits: Limits
  freshness: FreshnessService
  logger: Logger
  budget: RetryBudget
  costs: StatementCosts
  measures: EntryMeasures
  failureDomain: string
  /** Time after which a leaving upstream must get nothing new, in milliseconds. */
  drainMs: number
}

/** Where the times and counts of serving callers go. */
export interface EntryMeasures {
  /** Time of a caller's request, by type and outcome. */
  request: (label: string, durationMs: number) => void
  /** Time that a request waited for a connection, by outcome. */
  queue: (label: string, durationMs: number) => void
  /** Time of a statement at an upstream, by outcome. */
  upstream: (label: string, durationMs: number) => void
  /** Statements that were sent again, by reason. */
  retry: (label: string) => void
}

/** A statement that an upstream must run: as the caller sent it, or one that it has prepared. */
export type DataWork = { requestId: string, access: Access } & (
  | { type: 'data', text: string }
  | { type: 'execute', prepared: PreparedShape, parameters: string }
)

/** An upstream that was chosen. */
export interface ChosenUpstream {
  known: KnownUpstream
  used: UsedUpstream
}

/** A request in progress. */
export interface RequestScope {
  requestId: string
  group: string
  /** Name of the organisation on whose behalf it is served; empty for none, undefined where any will do. */
  organisation: string | undefined
  /** Version of the desired state by which it is served. */
  version: number
  priority: number
  /** Database whose statement times are recorded; undefined for statements of other hosts, which record them. */
  database?: string
  /** Time that a statement is expected to take at an upstream, in milliseconds. */
  costMs: number
  values: ReadonlyMap<string, string>
  deadline: Deadline
  /** When an answer stops being in time for the caller's route, on the steady clock, in milliseconds. */
  inTimeUntil: number
  /** Attempts so far; they bound retries, and stand in the log. */
  attempts: number
  /** Upstream that was tried last, for the log. */
  upstream?: string
  /** Host to which it was forwarded last, for the log. */
  home?: string
  /** Homes that have not served it. */
  triedHomes: Set<string>
}
