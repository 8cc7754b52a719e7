/** Asks this host and its peers whether they reach an upstream; `reach.ts` decides by their answers. */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import { sampleItems } from '../../core/random.ts'
import type { Homes } from '../homes/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { Pools } from '../pools/index.ts'
import { isConnectionRefused } from '../../peers/refusal.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { PROBE_MS } from './probe-times.ts'
import { countReach, isLostToMost, type ReachAnswer } from './reach.ts'
import { reachAnswerSchema, reachQuestionSchema } from './types.ts'

/** Age of an upstream's last answer up to which it counts as reached without a probe, in milliseconds. */
const HEARD_MS = 300
/**
 * Peers that are asked whether they reach an upstream: each may have to open a connection there, which takes
 * one of its slots for 12 ms, and 71 at once keep an upstream of three slots from answering anything else for 0.3 s.
 */
const REACH_ASKED = 8
/** Time that a peer has to answer, in milliseconds; it may have to probe the upstream. */
const REACH_MS = 1300

/** Options of {@link createReachQuestions}. */
interface ReachOptions {
  registry: Pick<Registry, 'peers'>
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'of' | 'probe'>
  homes: Pick<Homes, 'of'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
}

/** Questions whether hosts reach an upstream. */
interface ReachQuestions {
  /** Whether a primary is lost to so many hosts that it should be replaced. */
  isLost: (group: string, upstream: string) => Promise<boolean>
}

/**
 * Creates the questions, and answers those of peers.
 *
 * @param options - the upstreams and the links to peers
 * @returns the questions
 */
export function createReachQuestions (options: ReachOptions): ReachQuestions {
  const { registry, directory, pools, homes, peers, logger } = options
  const reaches = async (name: string): Promise<boolean> => {
    const upstream = directory.get(name)
    if (upstream === undefined) {
      return false
    }
    const { lastAnswerAt } = pools.of(upstream).health
    const heard = performance.now() - lastAnswerAt < HEARD_MS
    return heard || await pools.probe(upstream, PROBE_MS) !== undefined
  }
  const askPeer = async (peer: KnownHost, upstream: string): Promise<ReachAnswer> => {
    try {
      const { reached } = reachAnswerSchema.parse(await peers.requestOrDisconnect(peer, 'reach', { upstream }, REACH_MS))
      return reached ? 'reached' : 'lost'
    } catch (thrown) {
      logger.log('debug', 'leadership.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return isConnectionRefused(thrown) ? 'not-running' : 'silent'
    }
  }
  peers.handle('reach', async (body) => ({ reached: await reaches(reachQuestionSchema.parse(body).upstream) }))

  /** The homes of an upstream, which are the ones that work there, and some others: each may have to probe it. */
  const chooseAsked = (name: string): KnownHost[] => {
    const upstream = directory.get(name)
    const known = registry.peers()
    const homeNames = new Set(upstream === undefined ? [] : homes.of(upstream).map((home) => home.name))
    const isHome = (peer: KnownHost): boolean => homeNames.has(peer.name)
    const first = known.filter(isHome)
    const others = known.filter((peer) => !isHome(peer))
    return [...first, ...sampleItems(others, Math.max(0, REACH_ASKED - first.length))]
  }

  return {
    isLost: async (group, upstream) => {
      const own = reaches(upstream).then((reached): ReachAnswer => reached ? 'reached' : 'lost')
      const answers = chooseAsked(upstream).map(async (peer) => await askPeer(peer, upstream))
      const verdict = await countReach([own, ...answers])
      logger.log('info', 'leadership.reach', { group, upstream, ...verdict })
      return isLostToMost(verdict)
    }
  }
}
