/** Shapes of values: fields in order, with their types. */

/**
 * Describes the fields of a value in order, with their types.
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
 * Lists the paths of all defined fields of a value.
 *
 * @param value - the value
 * @param path - path of the value
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
