/**
 * Hosts share their proofs of positions. A host that has just started, or that does not reach the primary, asks its
 * peers for theirs, so that its reads need not all go to the primary.
 */
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import { chooseSome } from '../../core/random.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { formatPosition } from '../../positions/position.ts'
import type { GroupFreshness } from './group-freshness.ts'

/** Peers that are asked at once: the homes of the primary, and others chosen at random, more than a cut takes away. */
const PEERS_ASKED = 8
/** Of these, those that are asked before the others: one of two homes nearly always has a proof or makes one. */
const ASKED_FIRST = 2
/** Time that a peer has to answer, in milliseconds: a round trip takes 3 ms, a busy process some tens. */
const ANSWER_MS = 150
/** Time for which no further question is asked after one that brought nothing, in milliseconds. */
const FRUITLESS_PAUSE_MS = 300

const questionSchema = z.object({
  group: z.string(),
  /** Age of the oldest proof that will do, in milliseconds. */
  ageMs: z.number()
})

const replySchema = z.object({
  epoch: z.number(),
  proofs: z.array(z.object({
    position: z.object({ term: z.number(), position: z.number() }),
    /** Time since the request to the primary was sent, when the reply was made, in milliseconds. */
    ageMs: z.number()
  }))
})

/** Options of {@link createProofExchange}. */
interface ProofExchangeOptions {
  registry: Pick<Registry, 'peers' | 'self'>
  peers: Pick<Peers, 'ask' | 'handle'>
  logger: Logger
  of: (group: string) => GroupFreshness
}

/** Makes a proof here, when this host can; see {@link ProofExchange.useProver}. */
type Prover = (group: string) => Promise<void>

/** Brings proofs of peers. */
export interface ProofExchange {
  /**
   * Asks peers for proofs until one is fresh enough or all have answered. Those who need the same at the same time
   * share the question.
   *
   * @param group - the group
   * @param since - everything acknowledged before this moment must be seen, on the steady clock
   * @param homes - hosts that can make a proof
   * @returns whether there is a proof now
   */
  fetch: (group: string, since: number, homes: KnownHost[]) => Promise<boolean>
  /** Has proofs made here when none is known that will do. */
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
  const fruitlessUntil = new Map<string, number>()

  let prove: Prover = async () => {}
  /** Makes a proof if none is known that is young enough. */
  const ensureProof = async (group: string, since: number): Promise<void> => {
    if (of(group).floorSince(since) === undefined) {
      await prove(group)
    }
  }

  peers.handle('freshness-proofs', async (body) => {
    const { group, ageMs: greatestAgeMs } = questionSchema.parse(body)
    await ensureProof(group, performance.now() - greatestAgeMs)
    const { epoch, recent } = of(group)
    const now = performance.now()
    return { epoch, proofs: recent().map(({ position, sentAt }) => ({ position, ageMs: now - sentAt })) }
  })
  const ask = async (peer: KnownHost, group: string, since: number): Promise<void> => {
    // The reply is made after this moment, so counting ages from here takes no proof for younger than it is.
    const askedAt = performance.now()
    try {
      const { epoch, proofs } = replySchema.parse(await peers.ask(
        peer, 'freshness-proofs', { group, ageMs: askedAt - since }, ANSWER_MS))
      proofs.forEach(({ position, ageMs }) => of(group).record(epoch, askedAt - ageMs, position))
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
    }
  }
  /** Waits until a proof is known that will do, or all answers are there. */
  const untilFound = async (group: string, since: number, answers: Array<Promise<void>>): Promise<void> =>
    await new Promise((resolve) => {
      void Promise.all(answers.map(async (answer) => {
        await answer
        if (of(group).floorSince(since) !== undefined) {
          resolve()
        }
      })).then(() => resolve())
    })
  const askSome = async (group: string, since: number, homes: KnownHost[]): Promise<void> => {
    const isHome = new Set(homes.map(({ name }) => name))
    const others = registry.peers().filter(({ name }) => !isHome.has(name))
    const able = chooseSome(homes.filter(({ name }) => name !== registry.self.name), homes.length)
    const asked = [...able, ...chooseSome(others, PEERS_ASKED)].slice(0, Math.max(PEERS_ASKED, able.length))
    const before = of(group).newest
    const first = asked.slice(0, ASKED_FIRST)
    const asking = first.map(async (peer) => await ask(peer, group, since))
    await untilFound(group, since, [ensureProof(group, since), ...asking])
    if (of(group).floorSince(since) === undefined) {
      const rest = asked.slice(ASKED_FIRST)
      await untilFound(group, since, rest.map(async (peer) => await ask(peer, group, since)))
    }
    const found = of(group).floorSince(since) !== undefined
    logger.log('info', 'freshness.asked', {
      group, peers: asked.length, found, position: formatPosition(of(group).newest), before: formatPosition(before)
    })
    if (!found) {
      fruitlessUntil.set(group, performance.now() + FRUITLESS_PAUSE_MS)
    }
  }
  return {
    useProver: (prover) => { prove = prover },
    fetch: async (group, since, homes) => {
      if (performance.now() >= (fruitlessUntil.get(group) ?? -Infinity)) {
        const question = questions.get(group) ?? askSome(group, since, homes).finally(() => questions.delete(group))
        questions.set(group, question)
        await question
      }
      return of(group).floorSince(since) !== undefined
    }
  }
}
