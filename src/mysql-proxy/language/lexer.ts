/** Tokens of the operators' command language. */
import { createToken, Lexer, type TokenType } from 'chevrotain'

/** An identifier, such as `member-a`. Most keywords are also accepted as names. */
export const Name = createToken({ name: 'name', pattern: /[A-Za-z][A-Za-z0-9_-]*/ })

/** Creates a case-insensitive keyword; with `isName`, it is also accepted where the grammar expects a name. */
function keyword (word: string, isName = true): TokenType {
  return createToken({
    name: `keyword ${word}`, pattern: new RegExp(word, 'i'), longer_alt: Name, categories: isName ? [Name] : []
  })
}

/** Keyword tokens. */
export const Keyword = {
  show: keyword('show'),
  set: keyword('set'),
  unset: keyword('unset'),
  drain: keyword('drain'),
  restore: keyword('restore'),
  promote: keyword('promote'),
  explain: keyword('explain'),
  watch: keyword('watch'),
  where: keyword('where'),
  and: keyword('and'),
  order: keyword('order'),
  by: keyword('by'),
  desc: keyword('desc'),
  limit: keyword('limit'),
  to: keyword('to'),
  because: keyword('because'),
  upstream: keyword('upstream'),
  proxy: keyword('proxy'),
  true: keyword('true', false),
  false: keyword('false', false)
}

/** A string in single or double quotes; there are no escape sequences. */
export const StringLiteral = createToken({ name: 'text', pattern: /'[^']*'|"[^"]*"/ })
/** A decimal number; does not match the start of a longer word. */
export const NumberLiteral = createToken({ name: 'number', pattern: /-?\d+(?:\.\d+)?(?![A-Za-z0-9_.-])/ })
/** A comparison operator other than `=`. */
export const Comparison = createToken({ name: 'comparison', pattern: /!=|<=|>=|<|>/ })
/** An equals sign, for assignments and comparisons. */
export const Equals = createToken({ name: '=', pattern: /=/ })
/** Separator of path segments. */
export const Dot = createToken({ name: '.', pattern: /\./ })
const Whitespace = createToken({ name: 'space', pattern: /\s+/, group: Lexer.SKIPPED })

/** All tokens, by descending precedence. */
export const TOKENS = [
  Whitespace, StringLiteral, NumberLiteral, Comparison, Equals, Dot, ...Object.values(Keyword), Name
]

/** Splits a command into tokens. */
export const commandLexer = new Lexer(TOKENS)
