/** Types shared by the modules that serve requests. */
import type { StatementCosts } from './statement-costs.ts'
import type { RetryBudget } from '../../retries/retry-budget.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import type { FreshnessService } from '../freshness/index.ts'
import type { Limits } from '../limits/index.ts'
import type { Leadership } from '../leadership/index.ts'
import type { Memory } from '../../memory/index.ts'
import type { Pools, SessionValues, UpstreamResources } from '../pools/index.ts'
import type { Homes } from '../homes/index.ts'
import type { Access, PreparedShape } from '../ports/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { MemoryHold } from '../../core/memory/memory-budget.ts'
import type { Deadline } from '../../core/time/deadline.ts'

/** Services of the entry process that serving a request needs. */
export interface EntryContext {
  pools: Pools
  homes: Homes
  directory: Directory
  leadership: Leadership
  limits: Limits
  freshness: FreshnessService
  logger: Logger
  retryBudget: RetryBudget
  costs: StatementCosts
  memory: Memory
  metrics: EntryMetrics
  /** Name of this host. */
  host: string
  failureDomain: string
  /** Time after which a draining upstream must get no new work, in milliseconds. */
  drainMs: number
}

/** Recorders for the metrics of requests. */
export interface EntryMetrics {
  /** Records the duration of a caller's request, by type and outcome. */
  request: (label: string, durationMs: number) => void
  /** Records how long a request waited for a connection, by outcome. */
  queue: (label: string, durationMs: number) => void
  /** Records the duration of a statement at an upstream, by outcome. */
  upstream: (label: string, durationMs: number) => void
  /** Counts a retried statement, by reason. */
  retry: (label: string) => void
}

/** A prepared statement with the fingerprint of its shape, by which connections recognise it. */
export interface PreparedStatement extends PreparedShape {
  fingerprint: string
}

/** A statement to run at an upstream: the caller's text, or a prepared statement with its parameters. */
export type ExecutableStatement = { requestId: string, access: Access } & (
  | { type: 'data', text: string }
  | { type: 'execute', prepared: PreparedStatement, parameters: string }
)

/** An upstream chosen for a request, and the resources of this host for it. */
export interface ChosenUpstream {
  target: KnownUpstream
  resources: UpstreamResources
}

/** A request in progress. */
export interface RequestScope {
  requestId: string
  group: string
  /** Name of the organisation on whose behalf it runs; empty for none, undefined if the connection of any will do. */
  organisation: string | undefined
  /** Version of the desired state that applies to it. */
  version: number
  priority: number
  /** Database to record run times for; undefined for forwarded statements, whose own host records them. */
  database?: string
  /** Estimated run time of a statement at an upstream, in milliseconds. */
  costMs: number
  values: SessionValues
  /** Memory of the values that a home keeps for a transaction of another host. */
  valuesHold?: MemoryHold
  deadline: Deadline
  /** Time by which the route's latency target requires an answer, in milliseconds on the monotonic clock. */
  softDeadline: number
  /** Number of attempts so far. */
  attempts: number
  /** Whether the next retry has been withdrawn from the budget already; see second-try.ts. */
  retryWithdrawn?: boolean
  /** Whether it begins a transaction. */
  beginsTransaction?: boolean
  /** Whether a statement was sent for it that may run, or may have run. */
  sent?: boolean
  /** Whether it has a lasting effect if it runs: a single write, or the commit of a transaction that wrote. */
  hasLastingEffect?: boolean
  /** Upstream of the last attempt, for the log. */
  upstream?: string
  /** Home to which it was forwarded last, for the log. */
  home?: string
  /** Names of homes that failed to serve it. */
  triedHomes: Set<string>
  /** Where its time went, in milliseconds, summed over its attempts; for the log. */
  timeSpent?: Partial<Record<TimePart, number>>
}

/**
 * Parts of the time of a request: until its operation was granted, until it had a slot and a connection of this host,
 * at a home beyond the statement itself, and at the upstream.
 */
export type TimePart = 'grantMs' | 'queueMs' | 'homeMs' | 'upstreamMs'
