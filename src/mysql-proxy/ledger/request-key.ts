/** Request keys, fingerprints and attempts: what makes a request run at most once. */
import { createHash, randomBytes } from 'node:crypto'
import * as z from 'zod'
import { readNamedRows } from '../../mysql/named-rows.ts'
import type { RowsAnswer, Statement, StatementValue } from '../../mysql/types.ts'

/** A key and one attempt under it. */
export interface KeyedAttempt {
  /** Keys of different services never meet. */
  scope: string
  key: string
  /** Digest of the request; the same key with another fingerprint is an error. */
  fingerprint: string
  /** Counts attempts; a later attempt may take over a tombstone, an earlier one never. */
  attempt: number
}

/** A row of the ledger. */
const ledgerRecordSchema = z.object({
  /** `entered` when the attempt committed now, `exists` when a record stood before, `absent` when there is none. */
  outcome: z.enum(['entered', 'exists', 'absent']),
  state: z.enum(['', 'done', 'tombstone']),
  fingerprint: z.string(),
  attempt: z.coerce.number(),
  affectedRows: z.coerce.number(),
  insertId: z.coerce.number()
})

/** What the ledger says of a key. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>

/** Longest key a caller may give, in characters. */
export const MAXIMUM_KEY_LENGTH = 200
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/**
 * Creates a key that carries its time (UUID version 7).
 *
 * @returns the key
 */
export function createRequestKey (): string {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(Date.now(), 0, 6)
  bytes[6] = (bytes[6]! & 0x0f) | 0x70
  bytes[8] = (bytes[8]! & 0x3f) | 0x80
  const hex = bytes.toString('hex')
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-')
}

/**
 * Returns when a key was made.
 *
 * @param key - the key
 * @returns milliseconds of the epoch, or undefined when the key does not say
 */
export function keyCreatedAt (key: string): number | undefined {
  const match = UUID_V7.exec(key)
  return match === null ? undefined : Number.parseInt(match[1]! + match[2]!, 16)
}

/**
 * Digests statements, so that the same key with another request is noticed.
 *
 * @param statements - the statements in order
 * @returns the digest
 */
export function fingerprintOf (statements: Statement[]): string {
  const hash = createHash('sha256')
  for (const { sql, values = [] } of statements) {
    addPart(hash, 'sql', stripComments(sql))
    values.forEach((value) => addPart(hash, typeOf(value), String(value)))
  }
  return hash.digest('hex').slice(0, 32)
}

/**
 * Reads the answer of a ledger procedure.
 *
 * @param answer - the answer
 * @returns the record
 */
export function parseLedgerRecord (answer: RowsAnswer): LedgerRecord {
  return ledgerRecordSchema.parse(readNamedRows(answer)[0])
}

/** Each part carries its length, so that no two sequences of parts have the same bytes. */
function addPart (hash: ReturnType<typeof createHash>, type: string, text: string): void {
  hash.update(`${type}:${Buffer.byteLength(text)}:`).update(text)
}

function typeOf (value: StatementValue): string {
  return value === null ? 'null' : Buffer.isBuffer(value) ? 'bytes' : typeof value
}

/** The hint differs between repetitions of one request, so comments at the ends do not count. */
function stripComments (sql: string): string {
  return sql.replace(/^(?:\s|\/\*[\s\S]*?\*\/)+|(?:\s|\/\*[^*]*(?:\*(?!\/)[^*]*)*\*\/)+$/g, '')
}
