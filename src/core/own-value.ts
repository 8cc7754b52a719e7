/** Look-up of names from outside in objects that serve as tables. */

/**
 * Returns the value of a key that the object itself has. Names that objects inherit, such as `constructor`, have none.
 *
 * @param table - the values by key
 * @param key - the key, which may be any text
 * @returns the value; undefined if there is none
 */
export function ownValue<Value> (table: Readonly<Record<string, Value>>, key: string): Value | undefined {
  return Object.hasOwn(table, key) ? table[key] : undefined
}
