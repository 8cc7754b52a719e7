/** Shapes of values: which fields they have, in which order, and of which type. */

/**
 * Describes a value by its fields in their order and by their types.
 *
 * @param value - the value
 * @returns the shape, as text
 */
export function shapeOf (value: unknown): string {
  if (Array.isArray(value)) {
    return `[${[...new Set(value.map(shapeOf))].sort().join(' | ')}]`
  }
  if (typeof value === 'object' && value !== null) {
    return `{ ${Object.entries(value).map(([name, part]) => `${name}: ${shapeOf(part)}`).join(', ')} }`
  }
  return value === null ? 'null' : typeof value
}

/**
 * Lists the fields of a value that are there.
 *
 * @param value - the value
 * @param path - where it stands
 * @returns the paths of the fields
 */
export function fieldsOf (value: unknown, path: string): string[] {
  if (Array.isArray(value)) {
    return value.flatMap((part) => fieldsOf(part, `${path}[]`))
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value).flatMap(([name, part]) => fieldsOf(part, `${path}.${name}`))
  }
  return value === undefined ? [] : [path]
}
