/** Grammar and parser of the operators' command language, and the words suggested by errors and completion. */
import { EmbeddedActionsParser, type IToken } from 'chevrotain'
import { ownValue } from '../../core/own-value.ts'
import { Comparison, Dot, Equals, Keyword, Name, NumberLiteral, StringLiteral, TOKENS, commandLexer } from './lexer.ts'
import { createCommandError } from './command-error.ts'
import { TABLE_NAMES, type Command, type Condition, type ShowCommand, type TableName } from './types.ts'

/** First words of the commands. */
export const COMMAND_WORDS = ['show', 'set', 'unset', 'drain', 'restore', 'promote', 'explain', 'watch'] as const

class CommandParser extends EmbeddedActionsParser {
  constructor () {
    super(TOKENS, { recoveryEnabled: false })
    this.performSelfAnalysis()
  }

  readonly command = this.RULE('command', (): Command => this.OR<Command>([
    { ALT: () => this.SUBRULE(this.show) },
    { ALT: () => this.SUBRULE(this.set) },
    { ALT: () => this.SUBRULE(this.unset) },
    { ALT: () => this.SUBRULE(this.drain) },
    { ALT: () => this.SUBRULE(this.promote) },
    { ALT: () => this.SUBRULE(this.explain) },
    { ALT: () => this.SUBRULE(this.watch) }
  ]))

  private readonly show = this.RULE('show', (): ShowCommand => {
    this.CONSUME(Keyword.show)
    const table = this.CONSUME(Name).image.toLowerCase() as TableName
    const conditions: Condition[] = []
    this.OPTION(() => {
      this.CONSUME(Keyword.where)
      this.AT_LEAST_ONE_SEP({ SEP: Keyword.and, DEF: () => conditions.push(this.SUBRULE(this.condition)) })
    })
    const orderBy = this.OPTION1(() => {
      this.CONSUME(Keyword.order)
      this.CONSUME(Keyword.by)
      const column = this.CONSUME1(Name).image
      const descending = this.OPTION2(() => this.CONSUME(Keyword.desc)) !== undefined
      return { column, descending }
    })
    const limit = this.OPTION3(() => {
      this.CONSUME(Keyword.limit)
      return Number(this.CONSUME(NumberLiteral).image)
    })
    return { type: 'show', table, conditions, orderBy, limit }
  })

  private readonly condition = this.RULE('condition', (): Condition => {
    const column = this.CONSUME(Name).image
    const comparison = this.OR([
      { ALT: () => this.CONSUME(Equals).image },
      { ALT: () => this.CONSUME(Comparison).image }
    ]) as Condition['comparison']
    return { column, comparison, value: this.SUBRULE(this.value) }
  })

  private readonly set = this.RULE('set', (): Command => {
    this.CONSUME(Keyword.set)
    const path = this.SUBRULE(this.path)
    this.CONSUME(Equals)
    const value = this.SUBRULE(this.value)
    return { type: 'set', path, value, reason: this.SUBRULE(this.reason) }
  })

  private readonly unset = this.RULE('unset', (): Command => {
    this.CONSUME(Keyword.unset)
    return { type: 'unset', path: this.SUBRULE(this.path), reason: this.SUBRULE(this.reason) }
  })

  private readonly drain = this.RULE('drain', (): Command => {
    const type = this.OR([
      { ALT: () => { this.CONSUME(Keyword.drain); return 'drain' as const } },
      { ALT: () => { this.CONSUME(Keyword.restore); return 'restore' as const } }
    ])
    const what = this.OR1([
      { ALT: () => { this.CONSUME(Keyword.upstream); return 'upstream' as const } },
      { ALT: () => { this.CONSUME(Keyword.proxy); return 'proxy' as const } }
    ])
    return { type, what, name: this.CONSUME(Name).image }
  })

  private readonly promote = this.RULE('promote', (): Command => {
    this.CONSUME(Keyword.promote)
    const group = this.CONSUME(Name).image
    const upstream = this.OPTION(() => {
      this.CONSUME(Keyword.to)
      return this.CONSUME1(Name).image
    })
    return { type: 'promote', group, upstream }
  })

  private readonly explain = this.RULE('explain', (): Command => {
    this.CONSUME(Keyword.explain)
    const group = this.CONSUME(Name).image
    const service = this.CONSUME1(Name).image
    const kind = this.OPTION(() => this.CONSUME2(Name).image)
    return { type: 'explain', group, service, kind }
  })

  private readonly watch = this.RULE('watch', (): Command => {
    this.CONSUME(Keyword.watch)
    return { type: 'watch', show: this.SUBRULE(this.show) }
  })

  private readonly path = this.RULE('path', (): string[] => {
    const parts: string[] = []
    this.AT_LEAST_ONE_SEP({ SEP: Dot, DEF: () => parts.push(this.CONSUME(Name).image) })
    return parts
  })

  private readonly reason = this.RULE('reason', (): string | undefined => this.OPTION(() => {
    this.CONSUME(Keyword.because)
    return stripQuotes(this.CONSUME(StringLiteral).image)
  }))

  private readonly value = this.RULE('value', (): string | number | boolean => this.OR<string | number | boolean>([
    { ALT: () => Number(this.CONSUME(NumberLiteral).image) },
    { ALT: () => stripQuotes(this.CONSUME(StringLiteral).image) },
    { ALT: () => { this.CONSUME(Keyword.true); return true } },
    { ALT: () => { this.CONSUME(Keyword.false); return false } },
    { ALT: () => this.CONSUME(Name).image }
  ]))
}

const parser = new CommandParser()

/**
 * Parses a command.
 *
 * @param text - the text of the command
 * @returns the command
 * @throws WorkswardError `InvalidCommand`, whose message marks the position of the error
 */
export function parseCommand (text: string): Command {
  const { tokens, errors } = commandLexer.tokenize(text)
  const [lexingError] = errors
  if (lexingError !== undefined) {
    throw createCommandError(text, lexingError.offset, `'${text[lexingError.offset]}' cannot stand here`)
  }
  parser.input = tokens
  const command = parser.command()
  const [syntaxError] = parser.errors
  if (syntaxError !== undefined) {
    throw describeSyntaxError(text, syntaxError.token, tokens)
  }
  checkTable(text, command, tokens)
  return command
}

function describeSyntaxError (text: string, token: IToken, tokens: IToken[]): Error {
  const atEnd = Number.isNaN(token.startOffset) || token.image === ''
  const offset = atEnd ? text.length : token.startOffset
  const reason = atEnd ? 'the command ends too early' : `'${token.image}' cannot stand here`
  const index = tokens.indexOf(token)
  const expected = index <= 0 && !atEnd ? COMMAND_WORDS : ownValue(WORDS_AFTER, tokens.at(atEnd ? -1 : index - 1)?.image ?? '') ?? []
  return createCommandError(text, offset, reason, atEnd ? '' : token.image, expected)
}

function checkTable (text: string, command: Command, tokens: IToken[]): void {
  const show = command.type === 'watch' ? command.show : command
  if (show.type !== 'show' || TABLE_NAMES.includes(show.table)) {
    return
  }
  const token = tokens[command.type === 'watch' ? 2 : 1]!
  throw createCommandError(text, token.startOffset, `there is no table '${token.image}'`, token.image, TABLE_NAMES)
}

/** Valid words after a word, for suggestions and completion; the empty word stands for the start of a command. */
export const WORDS_AFTER: Record<string, readonly string[]> = {
  '': COMMAND_WORDS,
  show: TABLE_NAMES,
  watch: ['show'],
  drain: ['upstream', 'proxy'],
  restore: ['upstream', 'proxy'],
  order: ['by'],
  ...Object.fromEntries(TABLE_NAMES.map((table) => [table, ['where', 'order', 'limit']]))
}

function stripQuotes (text: string): string {
  return text.slice(1, -1)
}
