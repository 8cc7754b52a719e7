/**
 * One process's view of one database group: who leads, in which term, how far each log reaches, how old each replica's
 * data is, and who does not answer.
 */
import type { Group, UpstreamDeclaration } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { pause, type Deadline } from '../../core/time/deadline.ts'
import { createDataAge, type DataAge } from './data-age.ts'
import { laterPosition, LOG_START, majorityOf, meetsFloor, type LogPosition } from '../../positions/position.ts'
import type { GroupViewOptions, Leadership, UpstreamView } from './group-view-types.ts'
import { createStatusChannel, type ObservedStatus } from './status-channel.ts'
import { logEnd, type UpstreamStatus } from './status.ts'

export type { GroupViewOptions, Leadership, UpstreamView } from './group-view-types.ts'

/** Pause between two looks for a new primary, in milliseconds. */
const RECOVERY_PAUSE_MS = 15
/** The same once the group has been without a primary for long. */
const LONG_RECOVERY_PAUSE_MS = 150
/** Looks after which a group counts as long without a primary. */
const QUICK_LOOKS = 150
/** How long a caller is told to stay away while no primary is known, in milliseconds. */
const NO_PRIMARY_RETRY_MS = 250

/** A process's view of a group. */
export class GroupView {
  readonly name: string
  readonly upstreams = new Map<string, UpstreamView>()
  readonly age: DataAge = createDataAge()
  /** Everything up to here is known to be on a majority. */
  acknowledged: LogPosition = LOG_START
  /** Who leads, as far as known. */
  leadership: Leadership = { term: 0, primary: '' }

  private group: Group
  private readonly options: GroupViewOptions
  private readonly leadershipWaiters = new Set<() => void>()
  private recovering = false
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
   * Takes over changed declarations.
   *
   * @param group - the group as now declared
   */
  update (group: Group): void {
    this.group = group
    const declared = new Set(group.upstreams.map((upstream) => upstream.name))
    for (const [name, view] of this.upstreams) {
      if (!declared.has(name)) {
        view.channel.close()
        this.upstreams.delete(name)
      }
    }
    group.upstreams.forEach((declaration) => {
      const known = this.upstreams.get(declaration.name)
      const moved = known?.declaration.address !== declaration.address || known.declaration.port !== declaration.port
      if (known === undefined || moved) {
        known?.channel.close()
        this.addUpstream(declaration)
        return
      }
      known.declaration = declaration
    })
  }

  /**
   * Says whether an upstream may take new work.
   *
   * @param name - its name
   * @returns false while it leaves or does not answer
   */
  takesWork (name: string): boolean {
    const view = this.upstreams.get(name)
    return view !== undefined && view.reachable && !this.isLeaving(name)
  }

  /**
   * Says whether an upstream is leaving, by declaration, its own status or a peer's word.
   *
   * @param name - its name
   * @returns whether it is
   */
  isLeaving (name: string): boolean {
    const view = this.upstreams.get(name)
    if (view === undefined || view.declaration.state === 'draining') {
      return true
    }
    return this.group.duties.draining === 'act' && view.channel.latest?.status.leaving === true
  }

  /**
   * Returns where an upstream's log ended when last seen.
   *
   * @param name - its name
   * @returns the place, or the start of the log when it was never seen
   */
  knownEnd (name: string): LogPosition {
    const status = this.upstreams.get(name)?.channel.latest?.status
    return status === undefined ? LOG_START : logEnd(status)
  }

  /**
   * Takes word of a new leadership from a keeper or another proxy.
   *
   * @param leadership - term and primary
   */
  announce (leadership: Leadership): void {
    if (leadership.term <= this.leadership.term || !this.upstreams.has(leadership.primary)) {
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
  async primary (deadline: Deadline): Promise<{ view: UpstreamView, term: number }> {
    while (!this.closed) {
      const view = this.usablePrimary
      if (view !== undefined) {
        return { view, term: this.leadership.term }
      }
      void this.recover()
      if (deadline.passed) {
        break
      }
      await this.waitForLeadership(deadline)
    }
    throw new RequestError('not-run', 'NoUpstream', {
      group: this.name, reason: 'no primary is known', retryAfterMs: NO_PRIMARY_RETRY_MS
    })
  }

  /**
   * Takes note that an upstream did not answer.
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
    void this.recover()
  }

  /**
   * Asks all upstreams, with questions sent after this call, until a majority has answered.
   *
   * @param deadline - when to give up
   * @returns the answers of the first majority
   * @throws RequestError `NoUpstream` with verdict `not-run`
   */
  async askMajority (deadline: Deadline): Promise<ObservedStatus[]> {
    const answers: ObservedStatus[] = []
    const enough = new Promise<void>((resolve, reject) => {
      let failures = 0
      for (const { channel } of this.upstreams.values()) {
        channel.fresh().then((observed) => {
          answers.push(observed)
          if (answers.length === this.majority) {
            resolve()
          }
        }, () => {
          failures++
          if (failures > this.upstreams.size - this.majority) {
            reject(this.noMajority())
          }
        })
      }
    })
    await deadline.race(enough, 'not-run', 'asking a majority of upstreams')
    return answers.slice(0, this.majority)
  }

  /** Asks all upstreams in the background, so that ages and positions are known. */
  refresh (): void {
    if (this.refreshing) {
      return
    }
    this.refreshing = true
    void this.refreshAll().finally(() => { this.refreshing = false })
  }

  /** Asks all upstreams and waits for those that answer in time. */
  async refreshNow (): Promise<void> {
    await Promise.allSettled([...this.upstreams.values()].map(async ({ channel }) => await channel.fresh()))
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
    if (needed > 0 && !await this.waitForReplicas(place, source, needed, deadline)) {
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
        leaving: this.isLeaving(name),
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
    this.wakeWaiters()
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
    this.learnLeadership(status)
    if (name === this.leadership.primary && status.fencedTerm > this.leadership.term) {
      view.deposed = true
      void this.recover()
    }
    if (!view.reachable) {
      view.reachable = true
      this.wakeWaiters()
    }
    const leads = name === this.leadership.primary && status.term === this.leadership.term && status.role === 'primary'
    if (leads) {
      this.age.primarySeen(sentAt, logEnd(status))
    } else {
      this.age.replicaSeen(name, logEnd(status))
    }
  }

  private learnLeadership (status: UpstreamStatus): void {
    if (status.term <= this.leadership.term || !this.upstreams.has(status.primary)) {
      return
    }
    this.changeLeadership({ term: status.term, primary: status.primary })
  }

  private changeLeadership (leadership: Leadership): void {
    this.leadership = leadership
    this.upstreams.forEach((view) => { view.deposed = false })
    this.options.onLeadership?.(leadership)
    this.wakeWaiters()
  }

  private async refreshAll (): Promise<void> {
    const primary = this.upstreams.get(this.leadership.primary)
    await primary?.channel.fresh().catch(() => {})
    const others = this.replicaNames.map(async (name) => await this.upstreams.get(name)!.channel.fresh())
    await Promise.allSettled(others)
  }

  /** Looks for a primary until one answers; one look at a time. */
  private async recover (): Promise<void> {
    if (this.recovering) {
      return
    }
    this.recovering = true
    for (let looks = 0; !this.closed && this.usablePrimary === undefined; looks++) {
      this.upstreams.forEach(({ channel }) => { channel.fresh().catch(() => {}) })
      await pause(looks < QUICK_LOOKS ? RECOVERY_PAUSE_MS : LONG_RECOVERY_PAUSE_MS)
    }
    this.recovering = false
  }

  private async waitForReplicas (
    place: LogPosition, source: string, needed: number, deadline: Deadline
  ): Promise<boolean> {
    const replicas = [...this.upstreams.keys()].filter((name) => name !== source)
    if (replicas.length < needed) {
      return false
    }
    return await new Promise<boolean>((resolve) => {
      let reached = 0
      let pending = 0
      for (const name of replicas) {
        pending++
        const { channel } = this.upstreams.get(name)!
        const settled = (status: UpstreamStatus): boolean => status.term > place.term || holds(status, place)
        void channel.waitUntil(settled, deadline).then((observed) => {
          pending--
          if (observed !== undefined && holds(observed.status, place)) {
            reached++
          }
          if (reached === needed) {
            resolve(true)
          } else if (reached + pending < needed) {
            resolve(false)
          }
        })
      }
    })
  }

  private async waitForLeadership (deadline: Deadline): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.leadershipWaiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, deadline.leftMs)
      this.leadershipWaiters.add(wake)
    })
  }

  private wakeWaiters (): void {
    [...this.leadershipWaiters].forEach((wake) => wake())
  }

  private noMajority (): RequestError {
    return new RequestError('not-run', 'NoUpstream', {
      group: this.name, reason: 'a majority of the upstreams does not answer', retryAfterMs: NO_PRIMARY_RETRY_MS
    })
  }
}

/** A replica counts only in the term of the record: its log is then the primary's up to its end. */
function holds (status: UpstreamStatus, place: LogPosition): boolean {
  return status.term === place.term && status.logTerm === place.term && status.position >= place.position
}
