/** Choices at random. */

/**
 * Chooses some items at random.
 *
 * @param items - the items
 * @param count - how many to choose; all when there are no more
 * @returns the chosen ones, in random order
 */
export function sampleItems<Item> (items: Item[], count: number): Item[] {
  const left = [...items]
  const chosen: Item[] = []
  while (chosen.length < count && left.length > 0) {
    chosen.push(...left.splice(Math.floor(Math.random() * left.length), 1))
  }
  return chosen
}
