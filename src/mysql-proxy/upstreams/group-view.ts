/**
 * One process's view of a database group: the current term and its primary, the reachability and log position of each
 * upstream, and the age of each replica's data. Owns the status channels.
 */
import type { Group, UpstreamDeclaration } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import { createDataAge, type DataAge } from './data-age.ts'
import { reconcileUpstreams } from './declared-upstreams.ts'
import { laterPosition, LOG_START, majorityOf, meetsFloor, type LogPosition } from '../../positions/position.ts'
import type { GroupViewOptions, Leadership, UpstreamView } from './group-view-types.ts'
import { queryUntilMajority, waitForReplicas } from './majority.ts'
import { createPrimarySearch } from './primary-search.ts'
import { createStatusChannel, type ObservedStatus } from './status-channel.ts'
import { logEnd } from './status.ts'

export type { GroupViewOptions, Leadership, UpstreamView } from './group-view-types.ts'

/** Delay after which a caller should retry when the group has no usable primary, in milliseconds. */
const NO_PRIMARY_RETRY_MS = 250

/** View of a database group. */
export class GroupView {
  readonly name: string
  readonly upstreams = new Map<string, UpstreamView>()
  readonly age: DataAge = createDataAge()
  /** Latest log position known to be replicated to a majority. */
  acknowledged: LogPosition = LOG_START
  /** Primary of the highest known term; term 0 until one is known. */
  leadership: Leadership = { term: 0, primary: '' }

  private group: Group
  private readonly options: GroupViewOptions
  private readonly search = createPrimarySearch({
    isNeeded: () => !this.closed && this.usablePrimary === undefined,
    // The channel reports failures through `onFailure`.
    queryAll: () => this.upstreams.forEach(({ channel }) => { channel.fetchStatus().catch(() => {}) })
  })

  private refreshing = false
  private closed = false

  constructor (options: GroupViewOptions) {
    this.options = options
    this.name = options.name
    this.group = options.group
    options.group.upstreams.forEach((declaration) => this.addUpstream(declaration))
  }

  /** Number of upstreams that form a majority. */
  get majority (): number {
    return majorityOf(this.upstreams.size)
  }

  /** The primary, if it is known, reachable and not deposed. */
  get usablePrimary (): UpstreamView | undefined {
    const primary = this.upstreams.get(this.leadership.primary)
    return primary?.reachable === true && !primary.deposed ? primary : undefined
  }

  /** Names of the upstreams other than the primary. */
  get replicaNames (): string[] {
    return [...this.upstreams.keys()].filter((name) => name !== this.leadership.primary)
  }

  /**
   * Applies changed declarations.
   *
   * @param group - the current declaration of the group
   */
  update (group: Group): void {
    this.group = group
    reconcileUpstreams(this.upstreams, group.upstreams, (declaration) => this.addUpstream(declaration))
  }

  /**
   * Checks whether an upstream may be given new work.
   *
   * @param name - name of the upstream
   * @returns whether it is reachable and not draining
   */
  isAvailable (name: string): boolean {
    const view = this.upstreams.get(name)
    return view !== undefined && view.reachable && !this.isDraining(name)
  }

  /**
   * Checks whether an upstream is draining: by its declaration, or by its status if `duties.draining` is `act`.
   *
   * @param name - name of the upstream
   * @returns whether it is draining; true for an undeclared upstream
   */
  isDraining (name: string): boolean {
    const view = this.upstreams.get(name)
    const reportsLeaving = this.group.duties.draining === 'act' && view?.channel.latest?.status.leaving === true
    return view === undefined || view.declaration.state === 'draining' || reportsLeaving
  }

  /**
   * Returns the end of an upstream's log as of its latest status.
   *
   * @param name - name of the upstream
   * @returns the position; the start of the log when no status has been received
   */
  lastKnownLogEnd (name: string): LogPosition {
    const status = this.upstreams.get(name)?.channel.latest?.status
    return status === undefined ? LOG_START : logEnd(status)
  }

  /**
   * Adopts a leadership announced by a keeper, unless its term is not newer than the known one.
   *
   * @param leadership - term and primary
   */
  adoptLeadership (leadership: Leadership): void {
    if (!this.isNewer(leadership)) {
      return
    }
    this.upstreams.get(leadership.primary)!.reachable = true
    this.changeLeadership(leadership)
  }

  /**
   * Waits for a usable primary and searches for one in the meantime.
   *
   * @param deadline - limits the wait
   * @returns the primary and its term
   * @throws RequestError `NoUpstream` with verdict `not-run`
   */
  async waitForPrimary (deadline: Deadline): Promise<{ view: UpstreamView, term: number }> {
    while (!this.closed) {
      const view = this.usablePrimary
      if (view !== undefined) {
        return { view, term: this.leadership.term }
      }
      this.search.start()
      if (deadline.passed) {
        break
      }
      await this.search.wait(deadline)
    }
    throw this.noUpstream('no primary is known')
  }

  /**
   * Marks an upstream as unreachable and starts a search if no primary is usable.
   *
   * @param name - name of the upstream
   * @param reason - reason passed to `onUnreachable`
   */
  markUnreachable (name: string, reason: string): void {
    const view = this.upstreams.get(name)
    if (view === undefined || this.closed) {
      return
    }
    if (view.reachable) {
      view.reachable = false
      this.options.onUnreachable?.(name, reason)
    }
    this.search.start()
  }

  /**
   * Queries the status of all upstreams until a majority has answered. All queries are sent after this call.
   *
   * @param deadline - limits the wait
   * @returns the statuses of the first upstreams that answered, exactly a majority
   * @throws RequestError `NoUpstream` with verdict `not-run`
   */
  async queryMajority (deadline: Deadline): Promise<ObservedStatus[]> {
    const channels = [...this.upstreams.values()].map(({ channel }) => channel)
    const answers = queryUntilMajority(channels, this.majority, () =>
      this.noUpstream('a majority of the upstreams does not answer'))
    return await deadline.race(answers, 'not-run', 'asking a majority of upstreams')
  }

  /** Updates the positions and data ages of all upstreams in the background; one refresh runs at a time. */
  refreshInBackground (): void {
    if (this.refreshing) {
      return
    }
    this.refreshing = true
    void this.refreshPrimaryThenReplicas().finally(() => { this.refreshing = false })
  }

  /** Queries all upstreams and waits until each query has succeeded or failed. */
  async refreshAndWait (): Promise<void> {
    await Promise.allSettled([...this.upstreams.values()].map(async ({ channel }) => await channel.fetchStatus()))
  }

  /**
   * Waits until a log position is replicated to a majority within its term.
   *
   * @param target - the position
   * @param source - the upstream that wrote it; never counted as a replica, even if it is no longer the primary
   * @param deadline - limits the wait
   * @returns whether it is replicated; false when the term was superseded or the deadline passed
   */
  async waitForMajority (target: LogPosition, source: string, deadline: Deadline): Promise<boolean> {
    if (meetsFloor(this.acknowledged, target) && this.acknowledged.term === target.term) {
      return true
    }
    const needed = this.majority - 1
    const replicas = [...this.upstreams].filter(([name]) => name !== source).map(([, { channel }]) => channel)
    if (needed > 0 && !await waitForReplicas(replicas, { target, needed, deadline })) {
      return false
    }
    this.acknowledged = laterPosition(this.acknowledged, target)
    return true
  }

  /** Returns the state of the view for diagnostics. */
  dump (): unknown {
    return {
      ...this.leadership,
      acknowledged: this.acknowledged,
      upstreams: [...this.upstreams].map(([name, view]) => ({
        name,
        reachable: view.reachable,
        leaving: this.isDraining(name),
        ageMs: Math.round(this.age.ageMs(name)),
        questions: view.channel.queriesSent,
        status: view.channel.latest?.status
      }))
    }
  }

  /** Closes all connections. */
  close (): void {
    this.closed = true
    this.upstreams.forEach((view) => view.channel.close())
    this.search.wakeWaiters()
  }

  private addUpstream (declaration: UpstreamDeclaration): void {
    const { dialer, statusTimeoutMs } = this.options
    const { user, password } = this.group.account
    const channel = createStatusChannel({
      access: { ...declaration, user, password, database: this.name },
      dialer,
      timeoutMs: statusTimeoutMs,
      onStatus: (observed) => this.observe(declaration.name, observed),
      onFailure: (error) => {
        this.options.onFailure?.(declaration.name, error)
        this.markUnreachable(declaration.name, error.message)
      }
    })
    this.upstreams.set(declaration.name, { declaration, channel, reachable: true, deposed: false })
  }

  private observe (name: string, { status, sentAt }: ObservedStatus): void {
    const view = this.upstreams.get(name)
    if (view === undefined) {
      return
    }
    if (this.isNewer(status)) {
      this.changeLeadership({ term: status.term, primary: status.primary })
    }
    if (name === this.leadership.primary && status.fencedTerm > this.leadership.term) {
      view.deposed = true
      this.search.start()
    }
    if (!view.reachable) {
      view.reachable = true
      this.search.wakeWaiters()
    }
    const isPrimary = name === this.leadership.primary && status.term === this.leadership.term && status.role === 'primary'
    if (isPrimary) {
      this.age.recordPrimary(sentAt, logEnd(status))
    } else {
      this.age.recordReplica(name, logEnd(status))
    }
  }

  /** A leadership is newer when its term is higher; it is ignored until its primary is declared. */
  private isNewer ({ term, primary }: Leadership): boolean {
    return term > this.leadership.term && this.upstreams.has(primary)
  }

  private changeLeadership (leadership: Leadership): void {
    this.leadership = leadership
    this.age.clear()
    this.upstreams.forEach((view) => { view.deposed = false })
    this.options.onLeadership?.(leadership)
    this.search.wakeWaiters()
  }

  private async refreshPrimaryThenReplicas (): Promise<void> {
    const primary = this.upstreams.get(this.leadership.primary)
    // The channel reports a failure through `onFailure`; the replicas are queried regardless.
    await primary?.channel.fetchStatus().catch(() => {})
    const queries = this.replicaNames.map(async (name) => await this.upstreams.get(name)!.channel.fetchStatus())
    await Promise.allSettled(queries)
  }

  private noUpstream (reason: string): RequestError {
    return new RequestError('not-run', 'NoUpstream', { group: this.name, reason, retryAfterMs: NO_PRIMARY_RETRY_MS })
  }
}
