/** Splits SQL statements into tokens, in enough detail to find placeholders and hint comments. */
import { Lexer, createToken } from 'chevrotain'

const comment = createToken({ name: 'Comment', pattern: /\/\*[\s\S]*?\*\//, line_breaks: true })
const lineComment = createToken({ name: 'LineComment', pattern: /(?:--[ \t]|#)[^\n]*/ })
const singleQuoted = createToken({ name: 'SingleQuoted', pattern: /'(?:[^'\\]|\\[\s\S]|'')*'/, line_breaks: true })
const doubleQuoted = createToken({ name: 'DoubleQuoted', pattern: /"(?:[^"\\]|\\[\s\S]|"")*"/, line_breaks: true })
const quotedName = createToken({ name: 'QuotedName', pattern: /`(?:[^`]|``)*`/, line_breaks: true })
const placeholder = createToken({ name: 'Placeholder', pattern: /\?/ })
const separator = createToken({ name: 'Separator', pattern: /;/ })
const space = createToken({ name: 'Space', pattern: /\s+/, line_breaks: true, group: Lexer.SKIPPED })
const word = createToken({ name: 'Word', pattern: /[^\s'"`?;/#,()-]+/ })
const symbol = createToken({ name: 'Symbol', pattern: /[\s\S]/, line_breaks: true })

const lexer = new Lexer(
  [comment, lineComment, singleQuoted, doubleQuoted, quotedName, placeholder, separator, space, word, symbol],
  { positionTracking: 'onlyOffset', ensureOptimizations: false }
)

/** A token of a statement. */
interface StatementToken {
  type: 'Comment' | 'LineComment' | 'SingleQuoted' | 'DoubleQuoted' | 'QuotedName' | 'Placeholder' | 'Separator'
    | 'Word' | 'Symbol'
  text: string
  offset: number
}

/** Splits a statement into tokens, without white space. */
export function tokenizeStatement (sql: string): StatementToken[] {
  return lexer.tokenize(sql).tokens.map((token) => ({
    type: token.tokenType.name as StatementToken['type'],
    text: token.image,
    offset: token.startOffset
  }))
}

/** Counts the placeholders of a statement: every `?` outside of literals and comments. */
export function countPlaceholders (sql: string): number {
  return tokenizeStatement(sql).filter((token) => token.type === 'Placeholder').length
}
