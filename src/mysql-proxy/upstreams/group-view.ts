/**
 * One process's view of one database group: which upstream leads in which term, how far each log reaches, how old each
 * replica's data is, and which upstream does not answer. Owns the status channels; relies on `primary-search.ts` and
 * `majority.ts`.
 */
import type { Group, UpstreamDeclaration } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import { createDataAge, type DataAge } from './data-age.ts'
import { alignUpstreams } from './declared-upstreams.ts'
import { laterPosition, LOG_START, majorityOf, meetsFloor, type LogPosition } from '../../positions/position.ts'
import type { GroupViewOptions, Leadership, UpstreamView } from './group-view-types.ts'
import { askUntilMajority, waitForReplicas } from './majority.ts'
import { createPrimarySearch } from './primary-search.ts'
import { createStatusChannel, type ObservedStatus } from './status-channel.ts'
import { logEnd } from './status.ts'

export type { GroupViewOptions, Leadership, UpstreamView } from './group-view-types.ts'

/** Time after which a caller should come back while no primary is known, in milliseconds. */
const NO_PRIMARY_RETRY_MS = 250

/** A process's view of a group. */
export class GroupView {
  readonly name: string
  readonly upstreams = new Map<string, UpstreamView>()
  readonly age: DataAge = createDataAge()
  /** Everything up to here is known to be on a majority. */
  acknowledged: LogPosition = LOG_START
  /** The leadership, as far as known. */
  leadership: Leadership = { term: 0, primary: '' }

  private group: Group
  private readonly options: GroupViewOptions
  private readonly search = createPrimarySearch({
    isNeeded: () => !this.closed && this.usablePrimary === undefined,
    // Failed questions are reported by `onFailure` of the channel.
    askAll: () => this.upstreams.forEach(({ channel }) => { channel.fetchStatus().catch(() => {}) })
  })

  private refreshing = false
  private closed = false

  constructor (options: GroupViewOptions) {
    this.options = options
    this.name = options.name
    this.group = options.group
    options.group.upstreams.forEach((declaration) => this.addUpstream(declaration))
  }

  /** Upstreams that make a majority. */
  get majority (): number {
    return majorityOf(this.upstreams.size)
  }

  /** The primary that may be used now, if one is known and answers. */
  get usablePrimary (): UpstreamView | undefined {
    const primary = this.upstreams.get(this.leadership.primary)
    return primary?.reachable === true && !primary.deposed ? primary : undefined
  }

  /** Names of the upstreams other than the primary. */
  get replicaNames (): string[] {
    return [...this.upstreams.keys()].filter((name) => name !== this.leadership.primary)
  }

  /**
   * Replaces the declarations.
   *
   * @param group - the declarations in force
   */
  update (group: Group): void {
    this.group = group
    alignUpstreams(this.upstreams, group.upstreams, (declaration) => this.addUpstream(declaration))
  }

  /**
   * Decides whether an upstream may take new work.
   *
   * @param name - its name
   * @returns false while it leaves or does not answer
   */
  isAvailable (name: string): boolean {
    const view = this.upstreams.get(name)
    return view !== undefined && view.reachable && !this.isDraining(name)
  }

  /**
   * Decides whether an upstream is leaving, by its declaration or its own status.
   *
   * @param name - its name
   * @returns whether it is
   */
  isDraining (name: string): boolean {
    const view = this.upstreams.get(name)
    const reportsLeaving = this.group.duties.draining === 'act' && view?.channel.latest?.status.leaving === true
    return view === undefined || view.declaration.state === 'draining' || reportsLeaving
  }

  /**
   * Returns where an upstream's log ended when last seen.
   *
   * @param name - its name
   * @returns the place, or the start of the log when it was never seen
   */
  lastKnownLogEnd (name: string): LogPosition {
    const status = this.upstreams.get(name)?.channel.latest?.status
    return status === undefined ? LOG_START : logEnd(status)
  }

  /**
   * Records a new leadership that a keeper announced.
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
   * Waits for a primary that can be used.
   *
   * @param deadline - when to give up
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
   * Records that an upstream did not answer.
   *
   * @param name - its name
   * @param reason - what happened
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
   * Asks all upstreams, with questions sent after this call, until a majority has answered.
   *
   * @param deadline - when to give up
   * @returns the answers of the first majority
   * @throws RequestError `NoUpstream` with verdict `not-run`
   */
  async queryMajority (deadline: Deadline): Promise<ObservedStatus[]> {
    const channels = [...this.upstreams.values()].map(({ channel }) => channel)
    const asked = askUntilMajority(channels, this.majority, () =>
      this.noUpstream('a majority of the upstreams does not answer'))
    return await deadline.race(asked, 'not-run', 'asking a majority of upstreams')
  }

  /** Asks all upstreams in the background, so that ages and positions are known. */
  refreshInBackground (): void {
    if (this.refreshing) {
      return
    }
    this.refreshing = true
    void this.refreshAll().finally(() => { this.refreshing = false })
  }

  /** Asks all upstreams and waits for those that answer in time. */
  async refreshAndWait (): Promise<void> {
    await Promise.allSettled([...this.upstreams.values()].map(async ({ channel }) => await channel.fetchStatus()))
  }

  /**
   * Waits until a place in the log of a term is on a majority.
   *
   * @param place - the place
   * @param source - the upstream that wrote it; it does not count as one of its own replicas, whoever leads by now
   * @param deadline - when to give up
   * @returns whether it is; false when the term was superseded or time ran out
   */
  async waitForMajority (place: LogPosition, source: string, deadline: Deadline): Promise<boolean> {
    if (meetsFloor(this.acknowledged, place) && this.acknowledged.term === place.term) {
      return true
    }
    const needed = this.majority - 1
    const replicas = [...this.upstreams].filter(([name]) => name !== source).map(([, { channel }]) => channel)
    if (needed > 0 && !await waitForReplicas(replicas, { place, needed, deadline })) {
      return false
    }
    this.acknowledged = laterPosition(this.acknowledged, place)
    return true
  }

  /** State for dumps. */
  dump (): unknown {
    return {
      ...this.leadership,
      acknowledged: this.acknowledged,
      upstreams: [...this.upstreams].map(([name, view]) => ({
        name,
        reachable: view.reachable,
        leaving: this.isDraining(name),
        ageMs: Math.round(this.age.ageMs(name)),
        questions: view.channel.questions,
        status: view.channel.latest?.status
      }))
    }
  }

  /** Closes all connections. */
  close (): void {
    this.closed = true
    this.upstreams.forEach((view) => view.channel.close())
    this.search.wake()
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
      this.search.wake()
    }
    const leads = name === this.leadership.primary && status.term === this.leadership.term && status.role === 'primary'
    if (leads) {
      this.age.primarySeen(sentAt, logEnd(status))
    } else {
      this.age.replicaSeen(name, logEnd(status))
    }
  }

  /** A higher term supersedes the known one; it counts once its primary is declared. */
  private isNewer ({ term, primary }: Leadership): boolean {
    return term > this.leadership.term && this.upstreams.has(primary)
  }

  private changeLeadership (leadership: Leadership): void {
    this.leadership = leadership
    this.upstreams.forEach((view) => { view.deposed = false })
    this.options.onLeadership?.(leadership)
    this.search.wake()
  }

  private async refreshAll (): Promise<void> {
    const primary = this.upstreams.get(this.leadership.primary)
    // A failure is reported by `onFailure` of the channel; the replicas are asked all the same.
    await primary?.channel.fetchStatus().catch(() => {})
    const others = this.replicaNames.map(async (name) => await this.upstreams.get(name)!.channel.fetchStatus())
    await Promise.allSettled(others)
  }

  private noUpstream (reason: string): RequestError {
    return new RequestError('not-run', 'NoUpstream', { group: this.name, reason, retryAfterMs: NO_PRIMARY_RETRY_MS })
  }
}
