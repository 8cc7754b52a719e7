/**
 * Exchanges proofs of log positions between hosts, so that a host that has just started or cannot reach the primary
 * need not send all its reads there. While no proof is recent enough, this host tries to obtain one itself and asks the
 * peers that `peers-asked.ts` chooses; a peer that has none obtains one if it can.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { formatPosition } from '../../positions/position.ts'
import type { GroupFreshness } from './group-freshness.ts'
import { chooseProofPeers } from './peers-asked.ts'
import { proofRequest, proofResponse } from './proof-messages.ts'

/** Timeout of a request to a peer, in milliseconds. A round trip takes 3 ms, a busy process some tens. */
const ANSWER_TIMEOUT_MS = 150
/** Pause after an unsuccessful round of requests for a group, in milliseconds. */
const RETRY_PAUSE_MS = 300

/** Options of {@link createProofExchange}. */
interface ProofExchangeOptions {
  registry: Pick<Registry, 'peers' | 'self'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
  of: (group: string) => GroupFreshness
}

/** Obtains a proof from the primary, if this host can; see {@link ProofExchange.setProver}. */
type Prover = (group: string) => Promise<void>

/** Exchange of proofs with peers. */
export interface ProofExchange {
  /**
   * Asks peers for proofs until one is recent enough or all have answered. Concurrent calls for a group share the
   * requests.
   *
   * @param group - the group
   * @param since - time before which every acknowledged write must be visible, on the monotonic clock
   * @param homes - homes of the primary, which can obtain a proof
   * @returns whether a proof is recent enough
   */
  fetch: (group: string, since: number, homes: KnownHost[]) => Promise<boolean>
  /** Sets the function that obtains proofs on this host. */
  setProver: (prover: Prover) => void
}

/**
 * Creates the exchange, and answers the requests of peers.
 *
 * @param options - the registry, the links to peers and the proofs of groups
 * @returns the exchange
 */
export function createProofExchange ({ registry, peers, logger, of }: ProofExchangeOptions): ProofExchange {
  const pendingFetches = new Map<string, Promise<void>>()
  const pausedUntil = new Map<string, number>()

  let prove: Prover = async () => {}
  const hasRecentProof = (group: string, since: number): boolean => of(group).floorSince(since) !== undefined
  /** Obtains a proof unless a known one is recent enough. */
  const ensureProof = async (group: string, since: number): Promise<void> => {
    if (!hasRecentProof(group, since)) {
      await prove(group)
    }
  }

  peers.handle('freshness-proofs', async (body) => {
    const { group, ageMs: maximumAgeMs } = proofRequest.read(body)
    await ensureProof(group, performance.now() - maximumAgeMs)
    const { epoch, recent } = of(group)
    const now = performance.now()
    return { epoch, proofs: recent().map(({ position, sentAt }) => ({ position, ageMs: now - sentAt })) }
  })
  const requestProofs = async (peer: KnownHost, group: string, since: number): Promise<void> => {
    // The reply is created after this time, so ages counted from here never make a proof appear too recent.
    const askedAt = performance.now()
    try {
      const { epoch, proofs } = proofResponse.read(await peers.requestOrDisconnect(
        peer, 'freshness-proofs', { group, ageMs: askedAt - since }, ANSWER_TIMEOUT_MS))
      proofs.forEach(({ position, ageMs }) => of(group).record(epoch, askedAt - ageMs, position))
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
    }
  }
  /** Waits until a proof is recent enough, or all answers have come. */
  const waitForProof = async (group: string, since: number, answers: Array<Promise<void>>): Promise<void> =>
    await new Promise((resolve) => {
      void Promise.all(answers.map(async (answer) => {
        await answer
        if (hasRecentProof(group, since)) {
          resolve()
        }
      })).then(() => resolve())
    })
  const fetchProofs = async (group: string, since: number, homes: KnownHost[]): Promise<void> => {
    const { first, rest } = chooseProofPeers(homes, registry.peers(), registry.self.name)
    const before = of(group).newest
    const firstAnswers = first.map(async (peer) => await requestProofs(peer, group, since))
    await waitForProof(group, since, [ensureProof(group, since), ...firstAnswers])
    if (!hasRecentProof(group, since)) {
      await waitForProof(group, since, rest.map(async (peer) => await requestProofs(peer, group, since)))
    }
    const found = hasRecentProof(group, since)
    logger.log('info', 'freshness.proofs-requested', {
      group,
      peers: first.length + rest.length,
      found,
      position: formatPosition(of(group).newest),
      before: formatPosition(before)
    })
    if (!found) {
      pausedUntil.set(group, performance.now() + RETRY_PAUSE_MS)
    }
  }
  return {
    setProver: (prover) => { prove = prover },
    fetch: async (group, since, homes) => {
      if (performance.now() >= (pausedUntil.get(group) ?? -Infinity)) {
        const fetching = pendingFetches.get(group) ??
          fetchProofs(group, since, homes).finally(() => pendingFetches.delete(group))
        pendingFetches.set(group, fetching)
        await fetching
      }
      return hasRecentProof(group, since)
    }
  }
}
