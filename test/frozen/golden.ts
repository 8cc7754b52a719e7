/** Golden files of the data that crosses process boundaries. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { expect } from 'earl'

const FOLDER = new URL('./golden/', import.meta.url).pathname
/** Environment variable that enables writing missing golden files; existing files are never overwritten. */
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
 * @param name - file name without extension
 * @param value - content of the file if it is created
 * @returns the parsed content
 */
export function readGolden (name: string, value: unknown): unknown {
  return JSON.parse(readText(name, value))
}

/**
 * Compares a value with a golden file as JSON text, including the order of fields.
 *
 * @param name - file name without extension
 * @param value - the value; must be representable in JSON
 */
export function expectGolden (name: string, value: unknown): void {
  expect(format(value).split('\n')).toEqual(readText(name, value).split('\n'))
}
