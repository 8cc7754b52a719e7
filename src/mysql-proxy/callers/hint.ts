/** What a request declares of itself, in a comment of SQLCommenter form. */
import * as z from 'zod'
import { RequestError } from '../../core/errors/index.ts'
import { tokenizeStatement } from '../../mysql/statement-lexer.ts'

/** What a request can declare of itself. */
export const hintSchema = z.strictObject({
  /** Name of its kind. */
  kind: z.string().optional(),
  /** Token or id of its session. */
  session: z.string().optional(),
  /** Request key. */
  key: z.string().optional()
})

/** What a request declares of itself. */
export type Hint = z.infer<typeof hintSchema>

const PREFIX = 'worksward_'
/** One `name='value'` of a comment. */
const PAIR = /^\s*([A-Za-z0-9_.-]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*$/

/**
 * Reads the hint of a statement.
 *
 * @param sql - the statement
 * @returns the hint; empty when there is none
 * @throws RequestError `MalformedHint` with verdict `not-run`
 */
export function readHint (sql: string): Hint {
  if (!sql.includes(PREFIX)) {
    return {}
  }
  const comments = tokenizeStatement(sql).filter((token) => token.type === 'Comment' && token.text.includes(PREFIX))
  if (comments.length > 1) {
    throw malformed('there is more than one')
  }
  const [comment] = comments
  return comment === undefined ? {} : parsePairs(comment.text.slice(2, -2))
}

/**
 * Reads a hint from named values, such as connection attributes.
 *
 * @param values - the values; those with other names are ignored
 * @returns the hint
 */
export function readHintValues (values: Record<string, string>): Hint {
  const named = Object.entries(values).filter(([name]) => name.startsWith(PREFIX))
  return checkHint(Object.fromEntries(named.map(([name, value]) => [name.slice(PREFIX.length), value])))
}

function parsePairs (text: string): Hint {
  const values: Record<string, string> = {}
  for (const part of splitPairs(text)) {
    const match = PAIR.exec(part)
    if (match === null) {
      throw malformed(`'${part.trim()}' is not of the form name='value'`)
    }
    values[match[1]!] = decodeValue(match[2]!)
  }
  return readHintValues(values)
}

/** Splits at commas outside quotes. */
function splitPairs (text: string): string[] {
  return text.match(/(?:[^,']|'(?:[^'\\]|\\.)*'|')+/g) ?? []
}

function decodeValue (value: string): string {
  try {
    return decodeURIComponent(value.replaceAll("\\'", "'"))
  } catch {
    // The only failure is an escape that cannot be decoded; the error that is thrown shows the value.
    throw malformed(`'${value}' is not URL-encoded`)
  }
}

function checkHint (values: Record<string, string>): Hint {
  const result = hintSchema.safeParse(values)
  if (result.success) {
    return result.data
  }
  const unknown = Object.keys(values).filter((name) => !(name in hintSchema.shape))
  throw malformed(`unknown name ${unknown.map((name) => PREFIX + name).join(', ')}`)
}

function malformed (reason: string): RequestError {
  return new RequestError('not-run', 'MalformedHint', { reason })
}
