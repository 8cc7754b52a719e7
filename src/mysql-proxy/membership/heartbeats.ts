/** Rounds of heartbeats to a few members at a time, and suspicion of those that do not answer. */
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { MemberList } from './member-list.ts'
import type { Opinions } from './opinions.ts'
import { heartbeatSchema, memberSchema, type Heartbeat, type Member } from './types.ts'

/** Members asked in each round. */
const FANOUT = 2
const HEARTBEAT_TIMEOUT_MS = 400
/** Time for which a member that failed a request is tried last, in milliseconds. */
const AVOID_MS = 500
/** Rounds after which whole lists are exchanged with a member whose digest differs. */
const EXCHANGE_EVERY = 4

/** Options of {@link createHeartbeats}. */
interface HeartbeatsOptions {
  peers: Peers
  list: MemberList
  opinions: Opinions
  /** Peers to ask while nobody is known. */
  seeds: Endpoint[]
  /** Configuration revision of this process. */
  revision: () => number
  /** Told when a member has a newer configuration. */
  onNewerRevision: (peer: Endpoint, revision: number) => void
}

/** Heartbeats of one process. */
interface Heartbeats {
  /** Sends one round. */
  round: () => Promise<void>
  /** Sends a heartbeat to one member; it is suspected when it does not answer. */
  beatMember: (member: Member) => Promise<void>
  /** Tries to reach a member for somebody who cannot; returns whether it answered. */
  tryMember: (member: Member) => Promise<boolean>
  /** Takes a heartbeat and returns the one that answers it. */
  answer: (heartbeat: Heartbeat) => Heartbeat
  /** Takes note that a member did not answer a request, and tries whether it answers at all. */
  reportFailure: (member: Member) => void
  /** Whether a member answered when last tried. */
  answers: (host: string) => boolean
  /** Configuration revision of each member, as last heard. */
  revisions: Map<string, number>
}

/**
 * Creates the heartbeats.
 *
 * @param options - links, list and opinions
 * @returns the heartbeats
 */
export function createHeartbeats (options: HeartbeatsOptions): Heartbeats {
  const { peers, list, opinions, seeds } = options
  const avoidedUntil = new Map<string, number>()
  const revisions = new Map<string, number>()
  let turn = 0

  const others = (): Member[] => list.all().filter((member) => member.host !== opinions.self.host)

  const describe = (): Heartbeat => {
    list.expire()
    return { members: opinions.takeNews(), digest: list.digest(), revision: options.revision() }
  }

  const hear = ({ members, revision }: Heartbeat): void => {
    members.forEach(opinions.hear)
    const [sender] = members
    if (sender === undefined) {
      return
    }
    revisions.set(sender.host, revision)
    avoidedUntil.delete(sender.host)
    if (revision > options.revision()) {
      options.onNewerRevision(sender, revision)
    }
  }

  const exchangeLists = async (endpoint: Endpoint): Promise<void> => {
    const theirs = await peers.request(endpoint, 'members', list.all(), HEARTBEAT_TIMEOUT_MS)
    memberSchema.array().parse(theirs).forEach(opinions.hear)
  }

  const beat = async (endpoint: Endpoint): Promise<void> => {
    const answer = await peers.request(endpoint, 'heartbeat', describe(), HEARTBEAT_TIMEOUT_MS)
    const heartbeat = heartbeatSchema.parse(answer)
    hear(heartbeat)
    if (heartbeat.digest !== list.digest() && turn % EXCHANGE_EVERY === 0) {
      await exchangeLists(endpoint)
    }
  }

  /** Asks another member to try before suspecting; a broken link of our own is not a failure of the other. */
  const suspect = async (member: Member): Promise<void> => {
    avoidedUntil.set(member.host, performance.now() + AVOID_MS)
    const helper = others().find((other) => other.state === 'live' && other.host !== member.host)
    const confirmed = helper === undefined || !await answersTo(peers, helper, member)
    const current = list.get(member.host)
    if (!confirmed || current === undefined) {
      return
    }
    const next = STATE_WHEN_SILENT[current.state]
    if (next !== undefined) {
      opinions.hear({ ...current, state: next })
    }
  }

  const beatMember = async (member: Member): Promise<void> => {
    try {
      await beat(member)
    } catch {
      await suspect(member)
    }
  }

  const askStrangers = async (known: Member[]): Promise<void> => {
    const strangers = seeds.filter((seed) => !known.some((member) => isAt(member, seed)))
    await Promise.allSettled(strangers.map(exchangeLists))
  }

  return {
    revisions,
    beatMember,
    reportFailure: (member) => {
      avoidedUntil.set(member.host, performance.now() + AVOID_MS)
      void beatMember(member)
    },
    tryMember: async (member) => await beat(member).then(() => true, () => false),
    answers: (host) =>
      (avoidedUntil.get(host) ?? 0) < performance.now() && list.get(host)?.state !== 'suspect',
    answer: (heartbeat) => {
      hear(heartbeat)
      return describe()
    },
    round: async () => {
      turn++
      const reachable = others().filter((member) => member.state !== 'gone')
      const first = turn * FANOUT
      const chosen = Array.from({ length: Math.min(FANOUT, reachable.length) },
        (_value, index) => reachable[(first + index) % reachable.length]!)
      await Promise.allSettled(chosen.map(beatMember))
      if (reachable.length === 0 || turn % EXCHANGE_EVERY === 0) {
        await askStrangers([opinions.self, ...reachable])
      }
    }
  }
}

/** What becomes of a member that does not answer; one that leaves need not be waited for. */
const STATE_WHEN_SILENT: Record<Member['state'], Member['state'] | undefined> = {
  live: 'suspect', suspect: undefined, leaving: 'gone', gone: undefined
}

async function answersTo (peers: Peers, helper: Member, member: Member): Promise<boolean> {
  try {
    return await peers.request(helper, 'try-member', member, HEARTBEAT_TIMEOUT_MS * 2) === true
  } catch {
    return false
  }
}

function isAt (member: Member, endpoint: Endpoint): boolean {
  return member.address === endpoint.address && member.port === endpoint.port
}
