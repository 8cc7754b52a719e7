/** Handlers of the statement classes. */
import { RequestError } from '../../core/errors/index.ts'
import { textColumn } from '../../mysql/answer-writer.ts'
import { EMPTY_ANSWER, type Answer, type Statement } from '../../mysql/types.ts'
import { selectCallerDatabase, type Caller } from './caller.ts'
import { hintSchema, type Hint } from './hint.ts'
import { runPlainStatement } from './plain-statement.ts'
import { readSetting, type StatementClass } from './statement-class.ts'

type StatementHandler = (caller: Caller, statement: Statement, hint: Hint) => Promise<Answer>

/** Handler of each statement class. Handlers throw a `RequestError` with the verdict. */
export const STATEMENT_HANDLERS: Record<StatementClass, StatementHandler> = {
  begin: async ({ transactions }) => {
    await transactions.begin()
    return EMPTY_ANSWER
  },
  commit: async ({ transactions }, _statement, hint) => {
    await transactions.commit(hint.key)
    return EMPTY_ANSWER
  },
  rollback: async ({ transactions }) => {
    await transactions.rollBack()
    return EMPTY_ANSWER
  },
  set: async (caller, { sql }) => {
    caller.defaults = changeDefaults(caller.defaults, sql)
    return EMPTY_ANSWER
  },
  'session-token': async ({ session }) =>
    ({ type: 'rows', columns: [textColumn('@@worksward_session')], rows: [[Buffer.from(session.createToken())]] }),
  use: async (caller, { sql }) => {
    selectCallerDatabase(caller, /USE\s+`?([^`;\s]+)/i.exec(sql)?.[1] ?? '')
    return EMPTY_ANSWER
  },
  refused: async () => {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'connections are shared between callers' })
  },
  'implicit-commit': async (caller, statement, hint) => {
    if (caller.transactions.open) {
      throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'it would commit the open transaction' })
    }
    return await runPlainStatement(caller, statement, hint)
  },
  plain: runPlainStatement
}

/**
 * Applies a `SET` statement to the default hint of a connection.
 *
 * @param defaults - the current default hint
 * @param sql - the statement
 * @returns the new default hint
 * @throws RequestError `UnsupportedStatement` or `MalformedHint` with verdict `not-run`
 */
function changeDefaults (defaults: Hint, sql: string): Hint {
  const setting = readSetting(sql)
  if (setting.type === 'refused') {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: setting.reason })
  }
  if (setting.type === 'ignored') {
    return defaults
  }
  const value = setting.value === '' ? undefined : setting.value
  const result = hintSchema.safeParse({ ...defaults, [setting.name]: value })
  if (!result.success) {
    throw new RequestError('not-run', 'MalformedHint', { reason: `unknown name worksward_${setting.name}` })
  }
  return result.data
}
