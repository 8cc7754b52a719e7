/**
 * Asks this host and a sample of its peers whether they can reach an upstream; `reach.ts` evaluates the answers. If
 * only silent hosts of the sample keep the upstream, the other hosts are asked whether they answer, which costs it
 * nothing.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import { sampleItems } from '../../core/random.ts'
import type { Homes } from '../homes/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { Pools } from '../pools/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { HOST_REQUEST_TIMEOUT_MS, PROBE_TIMEOUT_MS } from './probe-times.ts'
import { countAnswers, estimateAll, isKeptBySilence, shouldReplacePrimary, type ReachAnswer } from './reach.ts'
import { reachResponseSchema, reachRequestSchema } from './types.ts'

/** Maximum age of an upstream's last answer for it to count as reachable without a probe, in milliseconds. */
const RECENT_ANSWER_MS = 300
/**
 * Number of peers that are asked. It is limited because each may open a connection to the upstream, which occupies one
 * of its slots for 12 ms: 71 at once keep an upstream of three slots from answering anything else for 0.3 s.
 */
const REACH_SAMPLE_SIZE = 8
/** Timeout of a request to a peer, in milliseconds; the peer may have to probe the upstream. */
const REACH_TIMEOUT_MS = 1300

/** Options of {@link createReachabilityCheck}. */
interface ReachabilityOptions {
  registry: Pick<Registry, 'peers'>
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'of' | 'probe'>
  homes: Pick<Homes, 'of'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
}

interface ReachabilityCheck {
  /** Whether so many hosts have lost the primary that it should be replaced. */
  isLost: (group: string, upstream: string) => Promise<boolean>
}

/**
 * Creates the reachability check, and answers the requests of peers.
 *
 * @param options - the upstreams and the links to peers
 * @returns the check
 */
export function createReachabilityCheck (options: ReachabilityOptions): ReachabilityCheck {
  const { registry, directory, pools, homes, peers, logger } = options
  const canReach = async (name: string): Promise<boolean> => {
    const upstream = directory.get(name)
    if (upstream === undefined) {
      return false
    }
    const { lastAnswerAt } = pools.of(upstream).health
    const answeredRecently = performance.now() - lastAnswerAt < RECENT_ANSWER_MS
    return answeredRecently || await pools.probe(upstream, PROBE_TIMEOUT_MS) !== undefined
  }
  const askPeer = async (peer: KnownHost, upstream: string): Promise<ReachAnswer> => {
    try {
      const { reached } = reachResponseSchema.parse(await peers.requestOrDisconnect(peer, 'reach', { upstream }, REACH_TIMEOUT_MS))
      return reached ? 'reached' : 'lost'
    } catch (thrown) {
      logger.log('debug', 'leadership.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return 'silent'
    }
  }
  peers.handle('reach', async (body) => ({ reached: await canReach(reachRequestSchema.parse(body).upstream) }))

  /** Chooses all homes of an upstream, since they use it, and random other peers. */
  const choosePeers = (name: string): KnownHost[] => {
    const upstream = directory.get(name)
    const knownPeers = registry.peers()
    const homeNames = new Set(upstream === undefined ? [] : homes.of(upstream).map((home) => home.name))
    const isHome = (peer: KnownHost): boolean => homeNames.has(peer.name)
    const homePeers = knownPeers.filter(isHome)
    const others = knownPeers.filter((peer) => !isHome(peer))
    return [...homePeers, ...sampleItems(others, Math.max(0, REACH_SAMPLE_SIZE - homePeers.length))]
  }

  const answers = async (peer: KnownHost): Promise<boolean> =>
    await peers.requestOrDisconnect(peer, 'neighbour', {}, HOST_REQUEST_TIMEOUT_MS).then(() => true, () => false)

  return {
    isLost: async (group, upstream) => {
      const ownAnswer = canReach(upstream).then((reached): ReachAnswer => reached ? 'reached' : 'lost')
      const asked = choosePeers(upstream)
      const counts = await countAnswers([ownAnswer, ...asked.map(async (peer) => await askPeer(peer, upstream))])
      logger.log('info', 'leadership.reach', { group, upstream, ...counts })
      if (!isKeptBySilence(counts)) {
        return shouldReplacePrimary(counts)
      }
      const askedNames = new Set(asked.map(({ name }) => name))
      const others = registry.peers().filter(({ name }) => !askedNames.has(name))
      const answering = (await Promise.all(others.map(answers))).filter((answered) => answered).length
      const silent = others.length - answering
      logger.log('info', 'leadership.reach-all', { group, upstream, answering, silent })
      return shouldReplacePrimary(estimateAll(counts, { answering, silent }))
    }
  }
}
