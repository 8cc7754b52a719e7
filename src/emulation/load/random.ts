/** Random numbers from a seed, so that a run can be repeated. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Random choices. */
export interface RandomSource {
  /** Returns a whole number between two bounds, both included. */
  integer: (lowest: number, highest: number) => number
  /** Returns one of several values. */
  pick: <Value>(values: readonly Value[]) => Value
  /** Returns true with a probability. */
  chance: (probability: number) => boolean
}

const GRAIN = 1_000_000

/**
 * Creates a source.
 *
 * @param seed - the seed
 * @returns the source
 */
export function createRandom (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  const integer = (lowest: number, highest: number): number => uniformInt(generator, lowest, highest)
  return {
    integer,
    pick: (values) => values[integer(0, values.length - 1)]!,
    chance: (probability) => integer(0, GRAIN - 1) < probability * GRAIN
  }
}
