/** Types of serving callers. */
import type { RetryBudget } from '../routing/retry-budget.ts'
import type { Logger } from '../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import type { FreshnessOfGroups } from '../freshness/index.ts'
import type { Leadership } from '../leadership/index.ts'
import type { Pools, UsedUpstream } from '../pools/index.ts'
import type { Access, PreparedShape, UpstreamCommand } from '../ports/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { Deadline } from '../core/time/deadline.ts'
import type { LogPosition } from '../upstreams/position.ts'

/** What serving a request needs from the rest of the process. */
export interface EntryContext {
  pools: Pools
  directory: Directory
  leadership: Leadership
  freshness: FreshnessOfGroups
  logger: Logger
  budget: RetryBudget
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

/** A statement that an upstream must run. */
export interface DataWork {
  requestId: string
  access: Access
  /** The statement's shape, when it was prepared. */
  prepared?: PreparedShape
  /** Builds the command; `name` is the prepared statement's name on the connection. */
  toCommand: (name: string, after?: LogPosition) => UpstreamCommand
}

/** An upstream that was chosen. */
export interface ChosenUpstream {
  known: KnownUpstream
  used: UsedUpstream
}

/** A request in progress. */
export interface RequestScope {
  requestId: string
  group: string
  priority: number
  values: ReadonlyMap<string, string>
  deadline: Deadline
  /** When an answer stops being in time for the caller's route, on the steady clock, in milliseconds. */
  inTimeUntil: number
  /** Tries made, for the log. */
  attempts: number
  /** Upstream that was tried last, for the log. */
  upstream?: string
}
