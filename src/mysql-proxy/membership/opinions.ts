/**
 * Opinions of this process on all members, itself included: it merges those that it receives, refutes suspicions of
 * itself, passes changes on with heartbeats, and declares suspects gone that have not refuted in time.
 */
import type { Logger } from '../../core/logger/index.ts'
import type { MemberList } from './member-list.ts'
import { isUnrefuted, REFUTATION_MS } from './silence-rule.ts'
import type { Heartbeat, Member } from './types.ts'

/** Greatest number of changes that one heartbeat carries. */
const CHANGES_IN_HEARTBEAT = 16
/** Heartbeats after which a change is no longer carried. */
const HEARTBEATS_WITH_CHANGE = 6

/** Options of {@link createOpinions}. */
interface OpinionsOptions {
  self: Member
  list: MemberList
  logger: Logger
  /** Called after every change of the list. */
  onChange: () => void
  /** Called with members that became suspect or gone, so that no request waits for them. */
  onSilent: (member: Member) => void
}

/** The opinions of one process. */
export interface Opinions {
  readonly self: Member
  /** Merges an opinion. */
  hear: (member: Member) => void
  /** Changes the state of this process. */
  changeSelf: (state: Member['state']) => void
  /** Returns the members that the next heartbeat carries: this process, then those that changed lately. */
  takeChanges: () => Heartbeat['members']
  close: () => void
}

/**
 * Creates the opinions of a process that starts.
 *
 * @param options - the process, the list, and who is notified
 * @returns the opinions
 */
export function createOpinions (options: OpinionsOptions): Opinions {
  const { list, logger, onChange, onSilent } = options
  /** Heartbeats that still carry the change of a member, by host. */
  const heartbeatsLeft = new Map<string, number>()
  const timers = new Set<NodeJS.Timeout>()
  let self = options.self
  list.merge(self)

  const replaceSelf = (change: Pick<Member, 'version' | 'state'>): void => {
    self = { ...self, ...change }
    list.merge(self)
    heartbeatsLeft.set(self.host, HEARTBEATS_WITH_CHANGE)
    onChange()
  }

  /** Refutes a suspicion; that this process leaves is accepted from any source, since operators may have set it. */
  const hearOfSelf = (opinion: Member): void => {
    const isOld = opinion.startedAt !== self.startedAt || opinion.version < self.version
    if (isOld || opinion.state === self.state) {
      return
    }
    const state = opinion.state === 'leaving' ? 'leaving' : self.state
    replaceSelf({ version: opinion.version + 1, state })
  }

  const expectRefutation = (suspect: Member): void => {
    const timer = setTimeout(() => {
      timers.delete(timer)
      const current = list.get(suspect.host)
      if (isUnrefuted(suspect, current)) {
        hear({ ...current, state: 'gone' })
      }
    }, REFUTATION_MS)
    timers.add(timer)
  }

  const hear = (member: Member): void => {
    if (member.host === self.host) {
      hearOfSelf(member)
      return
    }
    const before = list.get(member.host)?.state
    if (!list.merge(member)) {
      return
    }
    heartbeatsLeft.set(member.host, HEARTBEATS_WITH_CHANGE)
    if (before !== member.state) {
      logger.log('info', 'member.state', { peer: member.host, state: member.state, before })
    }
    if (member.state === 'suspect' || member.state === 'gone') {
      onSilent(member)
    }
    if (member.state === 'suspect') {
      expectRefutation(member)
    }
    onChange()
  }

  return {
    get self () { return self },
    hear,
    changeSelf: (state) => replaceSelf({ version: self.version + 1, state }),
    takeChanges: () => {
      const changed: Member[] = []
      for (const [host, left] of heartbeatsLeft) {
        // What finds no room waits: counting it as carried would leave many changes at once to the exchange of lists.
        if (changed.length === CHANGES_IN_HEARTBEAT) {
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
