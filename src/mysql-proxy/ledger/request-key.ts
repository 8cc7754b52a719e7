/** Request keys, fingerprints and ledger records, which ensure that a request runs at most once. */
import { createHash, randomBytes } from 'node:crypto'
import * as z from 'zod'
import { readNamedRows } from '../../mysql/named-rows.ts'
import type { RowsAnswer, Statement, StatementValue } from '../../mysql/types.ts'

/** An attempt to run a request under its key. */
export interface KeyedAttempt {
  /** Name of the service; keys of different services are independent. */
  scope: string
  key: string
  /** Digest of the request; reusing a key with another fingerprint is an error. */
  fingerprint: string
  /** Number of the attempt; only a later attempt may replace a tombstone. */
  attempt: number
}

/** A row of the ledger. */
const ledgerRecordSchema = z.object({
  /** `entered`: this attempt inserted the record; `exists`: the key already had a record; `absent`: it has none. */
  outcome: z.enum(['entered', 'exists', 'absent']),
  state: z.enum(['', 'done', 'tombstone']),
  fingerprint: z.string(),
  attempt: z.coerce.number(),
  affectedRows: z.coerce.number(),
  insertId: z.coerce.number()
})

/** Result of a ledger procedure for a key. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>

/** Longest accepted request key, in characters. */
export const MAXIMUM_KEY_LENGTH = 200
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/**
 * Creates a request key that contains its creation time (UUID version 7).
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
 * Returns the creation time of a key.
 *
 * @param key - the key
 * @returns milliseconds since the epoch, or undefined when the key is no UUID version 7
 */
export function keyCreatedAt (key: string): number | undefined {
  const match = UUID_V7.exec(key)
  return match === null ? undefined : Number.parseInt(match[1]! + match[2]!, 16)
}

/**
 * Computes the fingerprint of statements, which detects a key that is reused for another request.
 *
 * @param statements - the statements in order
 * @returns the fingerprint, as 32 hexadecimal digits
 */
export function fingerprintOf (statements: Statement[]): string {
  const hash = createHash('sha256')
  for (const { sql, values = [] } of statements) {
    updateWithPart(hash, 'sql', stripComments(sql))
    values.forEach((value) => updateWithPart(hash, typeTagOf(value), String(value)))
  }
  return hash.digest('hex').slice(0, 32)
}

/**
 * Parses the answer of a ledger procedure.
 *
 * @param answer - the answer
 * @returns the record
 * @throws ZodError when the answer has another form
 */
export function parseLedgerRecord (answer: RowsAnswer): LedgerRecord {
  return ledgerRecordSchema.parse(readNamedRows(answer)[0])
}

/** Adds a part to a digest, prefixed with its length so that different sequences of parts never have the same bytes. */
function updateWithPart (hash: ReturnType<typeof createHash>, type: string, text: string): void {
  hash.update(`${type}:${Buffer.byteLength(text)}:`).update(text)
}

function typeTagOf (value: StatementValue): string {
  return value === null ? 'null' : Buffer.isBuffer(value) ? 'bytes' : typeof value
}

/** Removes comments at both ends of a statement, since hints there differ between attempts of the same request. */
function stripComments (sql: string): string {
  return sql.replace(/^(?:\s|\/\*[\s\S]*?\*\/)+|(?:\s|\/\*[^*]*(?:\*(?!\/)[^*]*)*\*\/)+$/g, '')
}
