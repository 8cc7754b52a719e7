/**
 * When a host asks its peers for proofs of positions, and when it makes one itself. Owns the questions in progress, one
 * for each group; peers-asked.ts decides whom to ask.
 *
 * Inputs: the group, the moment on the steady clock, in milliseconds, from which on everything acknowledged must be
 * seen. Rule: while no proof is young enough, this host tries to make one and asks the first peers; when none of them
 * has one, the others. After a question without result no other is asked for {@link NO_RESULT_PAUSE_MS}. A peer that is
 * asked makes a proof if it can and has none. Why: a host that has just started, or that does not reach the primary,
 * need not send all its reads to the primary.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { formatPosition } from '../../positions/position.ts'
import type { GroupFreshness } from './group-freshness.ts'
import { choosePeersAsked } from './peers-asked.ts'
import { proofQuestionSchema, proofReplySchema } from './proof-messages.ts'

/** Time that a peer has to answer, in milliseconds: a round trip takes 3 ms, a busy process some tens. */
const ANSWER_MS = 150
/** Time for which no further question is asked after one without result, in milliseconds. */
const NO_RESULT_PAUSE_MS = 300

/** Options of {@link createProofExchange}. */
interface ProofExchangeOptions {
  registry: Pick<Registry, 'peers' | 'self'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
  of: (group: string) => GroupFreshness
}

/** Makes a proof here, when this host can; see {@link ProofExchange.useProver}. */
type Prover = (group: string) => Promise<void>

/** Gets proofs from peers. */
export interface ProofExchange {
  /**
   * Asks peers for proofs until one is fresh enough or all have answered. Requests that need the same at the same time
   * share the question.
   *
   * @param group - the group
   * @param since - everything acknowledged before this moment must be seen, on the steady clock
   * @param homes - hosts that can make a proof
   * @returns whether a proof is fresh enough then
   */
  fetch: (group: string, since: number, homes: KnownHost[]) => Promise<boolean>
  /** Sets what makes proofs here when none is known that suffices. */
  useProver: (prover: Prover) => void
}

/**
 * Creates the exchange, and answers the questions of peers.
 *
 * @param options - the links and the proofs
 * @returns the exchange
 */
export function createProofExchange ({ registry, peers, logger, of }: ProofExchangeOptions): ProofExchange {
  const questions = new Map<string, Promise<void>>()
  const pausedUntil = new Map<string, number>()

  let prove: Prover = async () => {}
  const isFound = (group: string, since: number): boolean => of(group).floorSince(since) !== undefined
  /** Makes a proof if none is known that is young enough. */
  const ensureProof = async (group: string, since: number): Promise<void> => {
    if (!isFound(group, since)) {
      await prove(group)
    }
  }

  peers.handle('freshness-proofs', async (body) => {
    const { group, ageMs: greatestAgeMs } = proofQuestionSchema.parse(body)
    await ensureProof(group, performance.now() - greatestAgeMs)
    const { epoch, recent } = of(group)
    const now = performance.now()
    return { epoch, proofs: recent().map(({ position, sentAt }) => ({ position, ageMs: now - sentAt })) }
  })
  const ask = async (peer: KnownHost, group: string, since: number): Promise<void> => {
    // The reply is made after this moment, so counting ages from here takes no proof for younger than it is.
    const askedAt = performance.now()
    try {
      const { epoch, proofs } = proofReplySchema.parse(await peers.requestOrDisconnect(
        peer, 'freshness-proofs', { group, ageMs: askedAt - since }, ANSWER_MS))
      proofs.forEach(({ position, ageMs }) => of(group).record(epoch, askedAt - ageMs, position))
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
    }
  }
  /** Waits until a proof is fresh enough, or all have answered. */
  const untilFound = async (group: string, since: number, answers: Array<Promise<void>>): Promise<void> =>
    await new Promise((resolve) => {
      void Promise.all(answers.map(async (answer) => {
        await answer
        if (isFound(group, since)) {
          resolve()
        }
      })).then(() => resolve())
    })
  const askSome = async (group: string, since: number, homes: KnownHost[]): Promise<void> => {
    const { first, rest } = choosePeersAsked(homes, registry.peers(), registry.self.name)
    const before = of(group).newest
    const asking = first.map(async (peer) => await ask(peer, group, since))
    await untilFound(group, since, [ensureProof(group, since), ...asking])
    if (!isFound(group, since)) {
      await untilFound(group, since, rest.map(async (peer) => await ask(peer, group, since)))
    }
    const found = isFound(group, since)
    logger.log('info', 'freshness.asked', {
      group,
      peers: first.length + rest.length,
      found,
      position: formatPosition(of(group).newest),
      before: formatPosition(before)
    })
    if (!found) {
      pausedUntil.set(group, performance.now() + NO_RESULT_PAUSE_MS)
    }
  }
  return {
    useProver: (prover) => { prove = prover },
    fetch: async (group, since, homes) => {
      if (performance.now() >= (pausedUntil.get(group) ?? -Infinity)) {
        const question = questions.get(group) ?? askSome(group, since, homes).finally(() => questions.delete(group))
        questions.set(group, question)
        await question
      }
      return isFound(group, since)
    }
  }
}
