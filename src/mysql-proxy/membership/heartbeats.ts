/**
 * Sends heartbeats to a few members per round. Each heartbeat and its answer carry recent changes, a digest of the
 * sender's member list and its configuration revision. Full lists are exchanged only when digests differ.
 */
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { MemberList } from './member-list.ts'
import type { Opinions } from './opinions.ts'
import { HEARTBEAT_TIMEOUT_MS } from './silence-rule.ts'
import { createSuspicion } from './suspicion.ts'
import { heartbeatSchema, memberSchema, type Heartbeat, type Member } from './types.ts'

/** Number of members that receive a heartbeat in each round. */
const FANOUT = 2
/** Full lists are exchanged in every n-th round. */
const EXCHANGE_INTERVAL = 4

/** Options of {@link createHeartbeats}. */
interface HeartbeatsOptions {
  peers: Peers
  list: MemberList
  opinions: Opinions
  /** Configured peer addresses; lists are exchanged with those that do not belong to a known member. */
  seeds: Endpoint[]
  /** Configuration revision of this process. */
  revision: () => number
  /** Called when a member has a newer configuration. */
  onNewerRevision: (peer: Endpoint, revision: number) => void
}

/** Heartbeats of one process. */
interface Heartbeats {
  /** Sends the heartbeats of one round. */
  round: () => Promise<void>
  /** Sends a heartbeat to a member and suspects the member if it does not answer. */
  sendOrSuspect: (member: Member) => Promise<void>
  /** Sends a heartbeat to a member on behalf of a process that cannot reach it; returns whether it answered. */
  probeMember: (member: Member) => Promise<boolean>
  /** Processes a received heartbeat and returns the answer to it. */
  handleHeartbeat: (heartbeat: Heartbeat) => Heartbeat
  /** Records that a member did not answer a request, and sends it a heartbeat. */
  reportFailure: (member: Member) => void
  /** Whether a member has no recent failure and is not suspect. */
  answers: (host: string) => boolean
  /** Last received configuration revision of each member, by host. */
  revisions: Map<string, number>
}

/**
 * Creates the heartbeats of a process.
 *
 * @param options - peers, member list and opinions
 * @returns the heartbeats
 */
export function createHeartbeats (options: HeartbeatsOptions): Heartbeats {
  const { peers, list, opinions, seeds } = options
  const suspicion = createSuspicion({ peers, list, opinions })
  const revisions = new Map<string, number>()
  let rounds = 0

  const buildHeartbeat = (): Heartbeat => {
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
    const members = await peers.request(endpoint, 'members', list.all(), HEARTBEAT_TIMEOUT_MS)
    memberSchema.array().parse(members).forEach(opinions.hear)
  }

  const send = async (endpoint: Endpoint): Promise<void> => {
    const answer = await peers.request(endpoint, 'heartbeat', buildHeartbeat(), HEARTBEAT_TIMEOUT_MS)
    const heartbeat = heartbeatSchema.parse(answer)
    receive(heartbeat)
    if (heartbeat.digest !== list.digest() && rounds % EXCHANGE_INTERVAL === 0) {
      await exchangeLists(endpoint)
    }
  }

  const sendOrSuspect = async (member: Member): Promise<void> => {
    try {
      await send(member)
    } catch {
      // Any error counts as no answer; a resulting change of state is logged as `member.state`.
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
    probeMember: async (member) => await send(member).then(() => true, () => false),
    answers: suspicion.answers,
    handleHeartbeat: (heartbeat) => {
      receive(heartbeat)
      return buildHeartbeat()
    },
    round: async () => {
      rounds++
      const { self } = opinions
      const members = list.all().filter(({ host, state }) => host !== self.host && state !== 'gone')
      await Promise.allSettled(chooseTargets(members, rounds).map(sendOrSuspect))
      if (members.length === 0 || rounds % EXCHANGE_INTERVAL === 0) {
        await Promise.allSettled(seedsWithoutMember(seeds, [self, ...members]).map(exchangeLists))
      }
    }
  }
}

/**
 * Chooses the members that receive a heartbeat in a round, in round-robin order.
 *
 * @param members - members in any state but `gone`, without this process
 * @param round - number of the round
 * @returns {@link FANOUT} members, or all when there are fewer
 */
export function chooseTargets (members: Member[], round: number): Member[] {
  const first = round * FANOUT
  return Array.from({ length: Math.min(FANOUT, members.length) },
    (_value, index) => members[(first + index) % members.length]!)
}

/** Returns the seeds whose address does not belong to a known member. */
function seedsWithoutMember (seeds: Endpoint[], members: Member[]): Endpoint[] {
  return seeds.filter((seed) =>
    !members.some((member) => member.address === seed.address && member.port === seed.port))
}
