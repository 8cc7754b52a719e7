/** The words of the operators' language. */
import { createToken, Lexer, type TokenType } from 'chevrotain'

/** A name, such as `member-a`; keywords are names too where a name is wanted. */
export const Name = createToken({ name: 'name', pattern: /[A-Za-z][A-Za-z0-9_-]*/ })

/** A keyword; one that is a name too may stand where a name is wanted. */
function keyword (word: string, isName = true): TokenType {
  return createToken({
    name: `keyword ${word}`, pattern: new RegExp(word, 'i'), longer_alt: Name, categories: isName ? [Name] : []
  })
}

/** Keywords by word. */
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

/** A text in quotes. */
export const Text = createToken({ name: 'text', pattern: /'[^']*'|"[^"]*"/ })
/** A number. */
export const NumberLiteral = createToken({ name: 'number', pattern: /-?\d+(?:\.\d+)?(?![A-Za-z0-9_.-])/ })
/** A comparison. */
export const Comparison = createToken({ name: 'comparison', pattern: /!=|<=|>=|<|>/ })
/** An equals sign. */
export const Equals = createToken({ name: '=', pattern: /=/ })
/** A dot between the parts of a path. */
export const Dot = createToken({ name: '.', pattern: /\./ })
const Space = createToken({ name: 'space', pattern: /\s+/, group: Lexer.SKIPPED })

/** All tokens, in the order in which they are tried. */
export const TOKENS = [Space, Text, NumberLiteral, Comparison, Equals, Dot, ...Object.values(Keyword), Name]

/** Splits a command into tokens. */
export const commandLexer = new Lexer(TOKENS)
