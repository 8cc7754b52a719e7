/**
 * Rounds of heartbeats to a few members at a time. A heartbeat and its answer carry recent changes, a digest of the
 * whole list, and the configuration revision of the sender. Whole lists are exchanged only when digests differ.
 */
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { MemberList } from './member-list.ts'
import type { Opinions } from './opinions.ts'
import { HEARTBEAT_TIMEOUT_MS } from './silence-rule.ts'
import { createSuspicion } from './suspicion.ts'
import { heartbeatSchema, memberSchema, type Heartbeat, type Member } from './types.ts'

/** Members asked in each round. */
const FANOUT = 2
/** Rounds after which whole lists are exchanged with a member whose digest differs. */
const EXCHANGE_EVERY = 4

/** Options of {@link createHeartbeats}. */
interface HeartbeatsOptions {
  peers: Peers
  list: MemberList
  opinions: Opinions
  /** Peers to ask while no member is known. */
  seeds: Endpoint[]
  /** Configuration revision of this process. */
  revision: () => number
  /** Called when a member has a newer configuration. */
  onNewerRevision: (peer: Endpoint, revision: number) => void
}

/** Heartbeats of one process. */
interface Heartbeats {
  /** Sends one round. */
  round: () => Promise<void>
  /** Sends a heartbeat to one member; it is suspected when it does not answer. */
  sendOrSuspect: (member: Member) => Promise<void>
  /** Tries to reach a member for another process that cannot; returns whether it answered. */
  tryMember: (member: Member) => Promise<boolean>
  /** Processes a heartbeat and returns the one that answers it. */
  answer: (heartbeat: Heartbeat) => Heartbeat
  /** Records that a member did not answer a request, and tries whether it answers at all. */
  reportFailure: (member: Member) => void
  /** Whether a member answered when last tried. */
  answers: (host: string) => boolean
  /** Configuration revision of each member, as last received. */
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
  const suspicion = createSuspicion({ peers, list, opinions })
  const revisions = new Map<string, number>()
  let rounds = 0

  const describe = (): Heartbeat => {
    list.expire()
    return { members: opinions.takeChanges(), digest: list.digest(), revision: options.revision() }
  }

  const receive = ({ members, revision }: Heartbeat): void => {
    members.forEach(opinions.hear)
    const [sender] = members
    if (sender === undefined) {
      return
    }
    revisions.set(sender.host, revision)
    suspicion.recordAnswer(sender.host)
    if (revision > options.revision()) {
      options.onNewerRevision(sender, revision)
    }
  }

  const exchangeLists = async (endpoint: Endpoint): Promise<void> => {
    const theirs = await peers.request(endpoint, 'members', list.all(), HEARTBEAT_TIMEOUT_MS)
    memberSchema.array().parse(theirs).forEach(opinions.hear)
  }

  const send = async (endpoint: Endpoint): Promise<void> => {
    const answer = await peers.request(endpoint, 'heartbeat', describe(), HEARTBEAT_TIMEOUT_MS)
    const heartbeat = heartbeatSchema.parse(answer)
    receive(heartbeat)
    if (heartbeat.digest !== list.digest() && rounds % EXCHANGE_EVERY === 0) {
      await exchangeLists(endpoint)
    }
  }

  const sendOrSuspect = async (member: Member): Promise<void> => {
    try {
      await send(member)
    } catch {
      // The reason does not matter to the suspicion; a change of state is logged as `member.state`.
      await suspicion.suspect(member)
    }
  }

  return {
    revisions,
    sendOrSuspect,
    reportFailure: (member) => {
      suspicion.recordFailure(member.host)
      void sendOrSuspect(member)
    },
    tryMember: async (member) => await send(member).then(() => true, () => false),
    answers: suspicion.answers,
    answer: (heartbeat) => {
      receive(heartbeat)
      return describe()
    },
    round: async () => {
      rounds++
      const { self } = opinions
      const members = list.all().filter(({ host, state }) => host !== self.host && state !== 'gone')
      await Promise.allSettled(chooseMembers(members, rounds).map(sendOrSuspect))
      if (members.length === 0 || rounds % EXCHANGE_EVERY === 0) {
        await Promise.allSettled(withoutMembers(seeds, [self, ...members]).map(exchangeLists))
      }
    }
  }
}

/**
 * Chooses the members that get a heartbeat in a round. Each gets one in turn.
 *
 * @param members - members that are not gone, without this process
 * @param round - number of the round
 * @returns {@link FANOUT} of them, or all when there are fewer
 */
export function chooseMembers (members: Member[], round: number): Member[] {
  const first = round * FANOUT
  return Array.from({ length: Math.min(FANOUT, members.length) },
    (_value, index) => members[(first + index) % members.length]!)
}

/** Returns the seeds at which no member listens that is known. */
function withoutMembers (seeds: Endpoint[], members: Member[]): Endpoint[] {
  return seeds.filter((seed) =>
    !members.some((member) => member.address === seed.address && member.port === seed.port))
}
