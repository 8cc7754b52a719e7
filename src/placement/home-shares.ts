/**
 * Computes how the homes of an upstream share its statements.
 *
 * A strong host is a home of more upstreams than a weak one, so its capacity is divided among more of them. Its share
 * at one upstream is therefore its capacity divided by the probability with which a host of that capacity is a home
 * there. Over many upstreams the work of each host is then proportional to its capacity. Shares in plain proportion to
 * the capacity would count it twice, and equal shares would overload the weak homes.
 */
import { unitsOf, type WeightedHost } from './capacity.ts'

/**
 * Computes the shares of homes that were chosen by weighted rendezvous hashing.
 *
 * The inverse score −ln(h) / w of a host of weight w is distributed exponentially with rate w, and homes are the hosts
 * where it is below t, that of the first host left out. So a host is a home with a probability of 1 − e^(−w × t).
 *
 * @param homes - the homes
 * @param bound - t; Infinity if no host is left out, so that each host is certain to be a home
 * @returns the share of each home by its name, 1 on average
 */
export function computeShares (homes: readonly WeightedHost[], bound: number): Map<string, number> {
  const raw = homes.map((home) => unitsOf(home) / -Math.expm1(-unitsOf(home) * bound))
  const mean = raw.reduce((sum, share) => sum + share, 0) / raw.length
  return new Map(homes.map(({ name }, index) => [name, raw[index]! / mean]))
}
