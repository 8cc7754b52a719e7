/**
 * Opinions of this process on the members. An opinion is a member's record with start time, version and state. Merges
 * received opinions, refutes suspicions of this process, disseminates changes with heartbeats, and marks suspects as
 * gone when they do not refute in time.
 */
import type { Logger } from '../../core/logger/index.ts'
import type { MemberList } from './member-list.ts'
import { isUnrefuted, REFUTATION_TIMEOUT_MS } from './silence-rule.ts'
import type { Heartbeat, Member } from './types.ts'

/** Maximum number of changes in one heartbeat. */
const MAXIMUM_CHANGES_PER_HEARTBEAT = 16
/** Number of heartbeats that carry each change. */
const HEARTBEATS_PER_CHANGE = 6

/** Options of {@link createOpinions}. */
interface OpinionsOptions {
  self: Member
  list: MemberList
  logger: Logger
  /** Called after every change of the member list. */
  onChange: () => void
  /** Called with members that became suspect or gone, so that pending requests to them can be aborted. */
  onUnavailable: (member: Member) => void
}

/** Opinions of one process. */
export interface Opinions {
  readonly self: Member
  /** Merges a received opinion. */
  hear: (member: Member) => void
  /** Changes the state of this process and raises its version. */
  setOwnState: (state: Member['state']) => void
  /** Returns the content of the next heartbeat: this process, then recently changed members. */
  takeChanges: () => Heartbeat['members']
  close: () => void
}

/**
 * Creates the opinions of a process.
 *
 * @param options - the process, its member list and the listeners
 * @returns the opinions
 */
export function createOpinions (options: OpinionsOptions): Opinions {
  const { list, logger, onChange, onUnavailable } = options
  /** Number of further heartbeats that carry the change of a member, by host. */
  const heartbeatsLeft = new Map<string, number>()
  const timers = new Set<NodeJS.Timeout>()
  let self = options.self
  list.merge(self)

  const replaceSelf = (change: Partial<Member>): void => {
    self = { ...self, ...change }
    list.merge(self)
    heartbeatsLeft.set(self.host, HEARTBEATS_PER_CHANGE)
    onChange()
  }

  const mergeOwnState = (opinion: Member): void => {
    const change = overrideOf(opinion, self)
    if (change !== undefined) {
      replaceSelf(change)
    }
  }

  const awaitRefutation = (suspect: Member): void => {
    const timer = setTimeout(() => {
      timers.delete(timer)
      const current = list.get(suspect.host)
      if (isUnrefuted(suspect, current)) {
        hear({ ...current, state: 'gone' })
      }
    }, REFUTATION_TIMEOUT_MS)
    timers.add(timer)
  }

  const hear = (member: Member): void => {
    if (member.host === self.host) {
      mergeOwnState(member)
      return
    }
    const before = list.get(member.host)?.state
    if (!list.merge(member)) {
      return
    }
    heartbeatsLeft.set(member.host, HEARTBEATS_PER_CHANGE)
    if (before !== member.state) {
      logger.log('info', 'member.state', { peer: member.host, state: member.state, before })
    }
    if (member.state === 'suspect' || member.state === 'gone') {
      onUnavailable(member)
    }
    if (member.state === 'suspect') {
      awaitRefutation(member)
    }
    onChange()
  }

  return {
    get self () { return self },
    hear,
    setOwnState: (state) => replaceSelf({ version: self.version + 1, state }),
    takeChanges: () => {
      const changed: Member[] = []
      for (const [host, left] of heartbeatsLeft) {
        // Changes beyond the limit keep their count and wait for a later heartbeat.
        if (changed.length === MAXIMUM_CHANGES_PER_HEARTBEAT) {
          break
        }
        const member = host === self.host ? undefined : list.get(host)
        if (member !== undefined) {
          changed.push(member)
        }
        left > 1 ? heartbeatsLeft.set(host, left - 1) : heartbeatsLeft.delete(host)
      }
      return [self, ...changed]
    },
    close: () => timers.forEach((timer) => clearTimeout(timer))
  }
}

/**
 * Returns how a process changes its record to override an opinion on it; undefined if it is outdated or agrees.
 * `leaving` is accepted, since an operator may have set it. The record of a former process of the host is overridden,
 * even if that one started later by a clock that has been set back since.
 */
function overrideOf (opinion: Member, self: Member): Partial<Member> | undefined {
  if (opinion.startedAt > self.startedAt) {
    return { startedAt: opinion.startedAt, version: opinion.version + 1 }
  }
  const isOutdated = opinion.startedAt !== self.startedAt || opinion.version < self.version
  if (isOutdated || opinion.state === self.state) {
    return undefined
  }
  return { version: opinion.version + 1, state: opinion.state === 'leaving' ? 'leaving' : self.state }
}
