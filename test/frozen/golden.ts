/** Golden files: what crosses a process boundary, as it has always been. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { expect } from 'earl'

const FOLDER = new URL('./golden/', import.meta.url).pathname
/** Set to write golden files that don't exist yet; those that exist are never overwritten. */
const WRITE_VARIABLE = 'FROZEN_WRITE'

function format (value: unknown): string {
  return JSON.stringify(value, null, 2) + '\n'
}

function readText (name: string, value: unknown): string {
  const file = `${FOLDER}${name}.json`
  if (process.env[WRITE_VARIABLE] !== undefined && !existsSync(file)) {
    writeFileSync(file, format(value))
  }
  return readFileSync(file, 'utf8')
}

/**
 * Reads a golden file.
 *
 * @param name - name of the file, without its ending
 * @param value - what to write when the file is to be made
 * @returns its content
 */
export function readGolden (name: string, value: unknown): unknown {
  return JSON.parse(readText(name, value))
}

/**
 * Compares a value with a golden file, as JSON text, so that the order of fields counts too.
 *
 * @param name - name of the file, without its ending
 * @param value - the value; must be what JSON can carry
 */
export function expectGolden (name: string, value: unknown): void {
  expect(format(value).split('\n')).toEqual(readText(name, value).split('\n'))
}
