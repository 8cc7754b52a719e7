/** Asks this host and its peers whether they reach an upstream. */
import { describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import type { Peers } from '../peers/index.ts'
import type { Pools } from '../pools/index.ts'
import { isRefusal, type KnownHost, type Registry } from '../registry/index.ts'
import { HEARD_MS, PROBE_MS, REACH_MS } from './consts.ts'
import { countReach, isLostToMost, type ReachAnswer } from './reach.ts'
import { reachAnswerSchema, reachQuestionSchema } from './types.ts'

/** Options of {@link createReachQuestions}. */
export interface ReachOptions {
  registry: Pick<Registry, 'peers'>
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'of' | 'probe'>
  peers: Pick<Peers, 'ask' | 'handle'>
  logger: Logger
}

/** Questions whether hosts reach an upstream. */
export interface ReachQuestions {
  /** Whether a primary is lost to so many hosts that it should be replaced. */
  isLost: (group: string, upstream: string) => Promise<boolean>
}

/**
 * Creates the questions, and answers those of peers.
 *
 * @param options - the upstreams and the links to peers
 * @returns the questions
 */
export function createReachQuestions ({ registry, directory, pools, peers, logger }: ReachOptions): ReachQuestions {
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
      const { reached } = reachAnswerSchema.parse(await peers.ask(peer, 'reach', { upstream }, REACH_MS))
      return reached ? 'reached' : 'lost'
    } catch (thrown) {
      logger.log('debug', 'leadership.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return isRefusal(thrown) ? 'not-running' : 'silent'
    }
  }
  peers.handle('reach', async (body) => ({ reached: await reaches(reachQuestionSchema.parse(body).upstream) }))

  return {
    isLost: async (group, upstream) => {
      const own = reaches(upstream).then((reached): ReachAnswer => reached ? 'reached' : 'lost')
      const verdict = await countReach([own, ...registry.peers().map(async (peer) => await askPeer(peer, upstream))])
      logger.log('info', 'leadership.reach', { group, upstream, ...verdict })
      return isLostToMost(verdict)
    }
  }
}
