/**
 * Chooses the peers that are asked for a proof: all homes of the primary in random order, then random other peers. The
 * first {@link FIRST_ROUND_SIZE} are asked before the rest. A home nearly always has a proof or can obtain one; the
 * other peers help when a partition separates this host from the homes.
 */
import { sampleItems } from '../../core/random.ts'
import type { KnownHost } from '../registry/index.ts'

/** Number of peers that are asked for a proof, or more if the primary has more homes. */
const PEER_COUNT = 8
/** Number of peers that are asked in the first round. */
const FIRST_ROUND_SIZE = 2

/** Peers to ask for a proof, in two rounds. */
interface ProofPeers {
  first: KnownHost[]
  rest: KnownHost[]
}

/**
 * Chooses the peers to ask for a proof.
 *
 * @param homes - homes of the primary
 * @param peers - all known peers
 * @param self - name of this host
 * @returns the peers of the first round, and the rest
 */
export function chooseProofPeers (homes: KnownHost[], peers: KnownHost[], self: string): ProofPeers {
  const isHome = new Set(homes.map(({ name }) => name))
  const others = peers.filter(({ name }) => !isHome.has(name))
  const otherHomes = sampleItems(homes.filter(({ name }) => name !== self), homes.length)
  const chosen = [...otherHomes, ...sampleItems(others, PEER_COUNT)].slice(0, Math.max(PEER_COUNT, otherHomes.length))
  return { first: chosen.slice(0, FIRST_ROUND_SIZE), rest: chosen.slice(FIRST_ROUND_SIZE) }
}
