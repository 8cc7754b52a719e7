/** Seeded random numbers, for reproducible runs. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of seeded random values. */
export interface RandomSource {
  /** Returns an integer between two inclusive bounds. */
  integer: (lowest: number, highest: number) => number
  /** Returns a random element. */
  pick: <Value>(values: readonly Value[]) => Value
  /** Returns true with the given probability. */
  chance: (probability: number) => boolean
}

const RESOLUTION = 1_000_000

/**
 * Creates a random source.
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
    chance: (probability) => integer(0, RESOLUTION - 1) < probability * RESOLUTION
  }
}
