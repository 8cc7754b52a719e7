/** Random sampling. */

/**
 * Draws random items without replacement.
 *
 * @param items - the items
 * @param count - maximum number of items to draw
 * @returns the drawn items, in random order
 */
export function sampleItems<Item> (items: Item[], count: number): Item[] {
  const remaining = [...items]
  const sample: Item[] = []
  while (sample.length < count && remaining.length > 0) {
    sample.push(...remaining.splice(Math.floor(Math.random() * remaining.length), 1))
  }
  return sample
}
