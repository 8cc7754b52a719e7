/** Golden data of formats that cross process boundaries or are stored. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { expect } from 'earl'

const FOLDER = new URL('./golden/', import.meta.url)
/** Adds missing entries to the golden files; existing entries are never overwritten. */
const ADDS_MISSING = process.env['WORKSWARD_FREEZE'] === '1'

/**
 * Reads golden data.
 *
 * @param file - file name without prefix and extension
 * @returns the values by name
 */
export function readGolden (file: string): Record<string, unknown> {
  const url = new URL(`mysql-${file}.json`, FOLDER)
  return existsSync(url) ? JSON.parse(readFileSync(url, 'utf8')) as Record<string, unknown> : {}
}

/**
 * Compares a value with golden data, including the order of keys.
 *
 * @param file - file name without prefix and extension
 * @param name - name of the value in the file
 * @param value - the value; bytes, undefined and big integers are converted for JSON
 */
export function expectGolden (file: string, name: string, value: unknown): void {
  const golden = readGolden(file)
  const shown = toJson(value)
  if (golden[name] === undefined && ADDS_MISSING) {
    const url = new URL(`mysql-${file}.json`, FOLDER)
    writeFileSync(url, JSON.stringify({ ...golden, [name]: shown }, null, 1) + '\n')
    return
  }
  expect(JSON.stringify(shown, null, 1)).toEqual(JSON.stringify(golden[name], null, 1))
}

/**
 * Converts a value to JSON without loss.
 *
 * @param value - the value
 * @returns the value with tagged bytes, undefined and big integers
 */
export function toJson (value: unknown): unknown {
  if (value === undefined) {
    return { $: 'undefined' }
  }
  if (value instanceof Uint8Array) {
    return { $: 'bytes', hex: Buffer.from(value).toString('hex') }
  }
  if (typeof value === 'bigint' || value instanceof Date || (typeof value === 'number' && !Number.isFinite(value))) {
    return { $: typeof value, text: String(value) }
  }
  if (Array.isArray(value)) {
    return value.map(toJson)
  }
  return typeof value === 'object' && value !== null
    ? Object.fromEntries(Object.entries(value).map(([key, part]) => [key, toJson(part)]))
    : value
}

/**
 * Runs a function and describes the error it throws.
 *
 * @param run - the function
 * @returns the result, or the name, message and verdict of the error
 */
export function outcomeOf (run: () => unknown): unknown {
  try {
    return run()
  } catch (thrown) {
    const { name, message, verdict } = thrown as Error & { verdict?: string }
    return { thrown: name, message, verdict }
  }
}
