/**
 * Which peers are asked for a proof, and which of them first.
 *
 * Inputs: the homes of the primary, all known peers, this host. Rule: all homes in random order, then other peers drawn
 * at random, {@link PEERS_ASKED} in all and every home at least; the first {@link ASKED_FIRST} are asked before the
 * others. Why: a home nearly always has a proof or can make one; others reach what a partition takes away from the
 * homes.
 */
import { sampleItems } from '../../core/random.ts'
import type { KnownHost } from '../registry/index.ts'

/**
 * Peers that are asked for one proof: the homes of the primary, and others drawn at random, more than a partition takes
 * away.
 */
const PEERS_ASKED = 8
/** Of these, those that are asked before the others: one of two homes nearly always has a proof or makes one. */
const ASKED_FIRST = 2

/** Peers to ask. */
interface PeersAsked {
  first: KnownHost[]
  rest: KnownHost[]
}

/**
 * Chooses the peers.
 *
 * @param homes - homes of the primary
 * @param peers - all known peers
 * @param self - name of this host
 * @returns those that are asked first, and the others
 */
export function choosePeersAsked (homes: KnownHost[], peers: KnownHost[], self: string): PeersAsked {
  const isHome = new Set(homes.map(({ name }) => name))
  const others = peers.filter(({ name }) => !isHome.has(name))
  const otherHomes = sampleItems(homes.filter(({ name }) => name !== self), homes.length)
  const asked = [...otherHomes, ...sampleItems(others, PEERS_ASKED)].slice(0, Math.max(PEERS_ASKED, otherHomes.length))
  return { first: asked.slice(0, ASKED_FIRST), rest: asked.slice(ASKED_FIRST) }
}
