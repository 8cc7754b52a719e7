/** Parses hints: metadata of a request, in an SQL comment in SQLCommenter format or in connection attributes. */
import * as z from 'zod'
import { RequestError } from '../../core/errors/index.ts'
import { tokenizeStatement } from '../../mysql/statement-lexer.ts'

/** Schema of a hint. */
export const hintSchema = z.strictObject({
  /** Name of the declared kind. */
  kind: z.string().optional(),
  /** Token or id of the session. */
  session: z.string().optional(),
  /** Request key. */
  key: z.string().optional()
})

/** Metadata that a request declares. */
export type Hint = z.infer<typeof hintSchema>

const PREFIX = 'worksward_'
/** One `name='value'` pair of a comment. */
const PAIR = /^\s*([A-Za-z0-9_.-]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*$/

/**
 * Reads the hint of a statement.
 *
 * @param sql - the statement
 * @returns the hint; empty when the statement has none
 * @throws RequestError `MalformedHint` with verdict `not-run`
 */
export function readHint (sql: string): Hint {
  if (!sql.includes(PREFIX)) {
    return {}
  }
  const comments = tokenizeStatement(sql).filter((token) => token.type === 'Comment' && token.text.includes(PREFIX))
  if (comments.length > 1) {
    throw createMalformedHintError('there is more than one')
  }
  const [comment] = comments
  return comment === undefined ? {} : parsePairs(comment.text.slice(2, -2))
}

/**
 * Reads a hint from named values, such as connection attributes. Names without the prefix are ignored.
 *
 * @param values - the values by name
 * @returns the hint
 * @throws RequestError `MalformedHint` with verdict `not-run`
 */
export function readHintValues (values: Record<string, string>): Hint {
  const named = Object.entries(values).filter(([name]) => name.startsWith(PREFIX))
  return validateHint(Object.fromEntries(named.map(([name, value]) => [name.slice(PREFIX.length), value])))
}

function parsePairs (text: string): Hint {
  const values: Record<string, string> = {}
  for (const part of splitPairs(text)) {
    const match = PAIR.exec(part)
    if (match === null) {
      throw createMalformedHintError(`'${part.trim()}' is not of the form name='value'`)
    }
    values[match[1]!] = decodeValue(match[2]!)
  }
  return readHintValues(values)
}

/** Splits a text at commas outside of quotes. */
function splitPairs (text: string): string[] {
  return text.match(/(?:[^,']|'(?:[^'\\]|\\.)*'|')+/g) ?? []
}

function decodeValue (value: string): string {
  try {
    return decodeURIComponent(value.replaceAll("\\'", "'"))
  } catch {
    // The only possible error is a malformed escape; the thrown error includes the value.
    throw createMalformedHintError(`'${value}' is not URL-encoded`)
  }
}

function validateHint (values: Record<string, string>): Hint {
  const result = hintSchema.safeParse(values)
  if (result.success) {
    return result.data
  }
  const unknown = Object.keys(values).filter((name) => !Object.hasOwn(hintSchema.shape, name))
  throw createMalformedHintError(`unknown name ${unknown.map((name) => PREFIX + name).join(', ')}`)
}

function createMalformedHintError (reason: string): RequestError {
  return new RequestError('not-run', 'MalformedHint', { reason })
}
