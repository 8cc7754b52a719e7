/** Takes in what is said of processes, and stands up for this one. */
import type { Logger } from '../../core/logger/index.ts'
import type { MemberList } from './member-list.ts'
import type { Heartbeat, Member } from './types.ts'

/** Time a suspect has to refute before it is taken for gone, in milliseconds. */
const SUSPICION_MS = 1000
/** Changes passed on with a heartbeat. */
const PASSED_ON = 16
/** Rounds for which a change is passed on. */
const PASSED_ON_ROUNDS = 6

/** Options of {@link createOpinions}. */
interface OpinionsOptions {
  self: Member
  list: MemberList
  logger: Logger
  /** Told of every change of the list. */
  onChange: () => void
  /** Told of members that do not answer any more, so that nothing waits for them. */
  onSilent: (member: Member) => void
}

/** What this process thinks of all others, and of itself. */
export interface Opinions {
  readonly self: Member
  /** Takes an opinion. */
  hear: (member: Member) => void
  /** Changes what this process says of itself. */
  changeSelf: (state: Member['state']) => void
  /** Members whose news is to be passed on with the next heartbeat, this process first. */
  takeNews: () => Heartbeat['members']
  close: () => void
}

/**
 * Creates the opinions of a process that starts.
 *
 * @param options - the process, the list, and who is told
 * @returns the opinions
 */
export function createOpinions (options: OpinionsOptions): Opinions {
  const { list, logger, onChange, onSilent } = options
  const news = new Map<string, number>()
  const timers = new Set<NodeJS.Timeout>()
  let self = options.self
  list.merge(self)

  const replaceSelf = (change: Pick<Member, 'version' | 'state'>): void => {
    self = { ...self, ...change }
    list.merge(self)
    news.set(self.host, PASSED_ON_ROUNDS)
    onChange()
  }

  /** A suspicion is refuted; word that this process leaves is taken from whoever brings it. */
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
      if (current?.state === 'suspect' && current.version === suspect.version) {
        hear({ ...current, state: 'gone' })
      }
    }, SUSPICION_MS)
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
    news.set(member.host, PASSED_ON_ROUNDS)
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
    takeNews: () => {
      const passedOn: Member[] = []
      for (const [host, rounds] of news) {
        const member = host === self.host ? undefined : list.get(host)
        if (member !== undefined && passedOn.length < PASSED_ON) {
          passedOn.push(member)
        }
        rounds > 1 ? news.set(host, rounds - 1) : news.delete(host)
      }
      return [self, ...passedOn]
    },
    close: () => timers.forEach((timer) => clearTimeout(timer))
  }
}
