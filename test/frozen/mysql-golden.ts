/** Golden data of the forms that cross a process boundary or are stored. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { expect } from 'earl'

const FOLDER = new URL('./golden/', import.meta.url)
/** Adds names that are missing from the golden files; what is there already is never written again. */
const ADDS_MISSING = process.env['WORKSWARD_FREEZE'] === '1'

/**
 * Reads golden data.
 *
 * @param file - name of the file, without its ending
 * @returns the values by name
 */
export function readGolden (file: string): Record<string, unknown> {
  const url = new URL(`mysql-${file}.json`, FOLDER)
  return existsSync(url) ? JSON.parse(readFileSync(url, 'utf8')) as Record<string, unknown> : {}
}

/**
 * Compares a value with golden data, the order of keys included.
 *
 * @param file - name of the file, without its ending
 * @param name - name of the value in the file
 * @param value - the value; bytes and undefined are written so that JSON can hold them
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
 * Writes a value so that JSON can hold it without loss.
 *
 * @param value - the value
 * @returns the same with tagged bytes, undefined and big integers
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
 * Runs a function and shows what it threw.
 *
 * @param run - the function
 * @returns its result, or name, message and verdict of the error
 */
export function outcomeOf (run: () => unknown): unknown {
  try {
    return run()
  } catch (thrown) {
    const { name, message, verdict } = thrown as Error & { verdict?: string }
    return { thrown: name, message, verdict }
  }
}
