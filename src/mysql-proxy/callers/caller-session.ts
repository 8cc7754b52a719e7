/** One caller's connection: its session, its transaction, and the way of each statement to a home. */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { createRequestKey } from '../ledger/request-key.ts'
import { textColumn } from '../../mysql/answer-writer.ts'
import type { ClientHandler, ClientHello } from '../../mysql/client-handler.ts'
import { EMPTY_ANSWER, type Answer, type Statement } from '../../mysql/types.ts'
import type { HomeRequests } from '../routing/home-requests.ts'
import type { SessionTokens } from '../sessions/session-token.ts'
import { createCallerTransactions } from './caller-transaction.ts'
import { hintSchema, readHint, readHintValues, type Hint } from './hint.ts'
import { createSessionFloors } from './session-floors.ts'
import { classifyStatement, readSetting, type StatementClass } from './statement-class.ts'

/** Options of {@link createCallerSession}. */
interface CallerSessionOptions {
  host: string
  client: ClientHello
  tokens: SessionTokens
  requests: HomeRequests
  /** Returns a group in force. */
  findGroup: (name: string) => Group | undefined
}

/** A caller's connection, as dumps show it. */
export interface CallerState {
  connection: number
  service: string
  group: string
  session: string
  inTransaction: boolean
  busy: boolean
  statements: number
}

/** A caller's connection. */
export interface CallerSession extends ClientHandler {
  state: () => CallerState
}

/** Time a statement without a declared kind may take, in milliseconds. */
const DEFAULT_DEADLINE_MS = 5000

/**
 * Creates the handler of a caller's connection.
 *
 * @param options - the caller and the way to homes
 * @returns the handler
 */
export function createCallerSession (options: CallerSessionOptions): CallerSession {
  const { client, tokens, requests, host } = options
  const service = client.user
  let groupName = client.database
  let defaults: Hint = readHintValues(client.attributes)
  let session = createSessionFloors(tokens, service)
  let statements = 0
  let busy = false

  const findGroup = (): Group => {
    const group = options.findGroup(groupName)
    if (group === undefined) {
      throw new RequestError('not-run', 'UnknownGroup', { group: groupName })
    }
    return group
  }

  const findKind = (hint: Hint): Kind | undefined => {
    if (hint.kind === undefined) {
      return undefined
    }
    const kinds = findGroup().services[service]?.kinds ?? {}
    const kind = kinds[hint.kind]
    if (kind === undefined) {
      throw new RequestError('not-run', 'UnknownKind', { kind: hint.kind, service, known: Object.keys(kinds) })
    }
    return kind
  }

  const base = (kind: Kind | undefined) => ({
    group: groupName, service, deadlineMs: kind?.deadlineMs ?? DEFAULT_DEADLINE_MS
  })

  const transactions = createCallerTransactions({
    host,
    connectionId: client.connectionId,
    requests,
    base: () => base(undefined),
    onCommitted: (floor) => session.join(groupName, floor)
  })

  const executePlain = async (statement: Statement, hint: Hint): Promise<Answer> => {
    const group = findGroup()
    checkSize(statement, group)
    const kind = findKind(hint)
    if (transactions.open) {
      return checkRows(await transactions.execute(statement, base(kind), kind?.access !== 'read'), findGroup())
    }
    const isWrite = kind?.access !== 'read'
    const needsKey = isWrite && kind?.repeatable !== true
    const { reply } = await requests.send({
      ...base(kind),
      type: 'execute',
      kind: hint.kind,
      statement,
      floor: session.floorOf(groupName),
      readIndex: session.isBareId,
      key: isWrite ? hint.key ?? (needsKey ? createRequestKey() : undefined) : undefined
    })
    isWrite ? session.join(groupName, reply.floor) : session.replace(groupName, reply.floor)
    return checkRows(reply.answer, group)
  }

  const set = async (sql: string): Promise<Answer> => {
    const setting = readSetting(sql)
    if (setting.type === 'refused') {
      throw new RequestError('not-run', 'UnsupportedStatement', { reason: setting.reason })
    }
    if (setting.type === 'hint') {
      const value = setting.value === '' ? undefined : setting.value
      const result = hintSchema.safeParse({ ...defaults, [setting.name]: value })
      if (!result.success) {
        throw new RequestError('not-run', 'MalformedHint', { reason: `unknown name worksward_${setting.name}` })
      }
      defaults = result.data
    }
    return EMPTY_ANSWER
  }

  const showToken = (): Answer => {
    return { type: 'rows', columns: [textColumn('@@worksward_session')], rows: [[Buffer.from(session.seal())]] }
  }

  const selectDatabase = async (database: string): Promise<void> => {
    if (transactions.open) {
      throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'a transaction is open' })
    }
    const group = options.findGroup(database)
    if (group?.services[service] === undefined) {
      throw new RequestError('not-run', 'UnknownGroup', { group: database })
    }
    groupName = database
  }

  const handlers: Record<StatementClass, (statement: Statement, hint: Hint) => Promise<Answer>> = {
    begin: async () => {
      await transactions.begin()
      return EMPTY_ANSWER
    },
    commit: async (_statement, hint) => {
      await transactions.commit(hint.key)
      return EMPTY_ANSWER
    },
    rollback: async () => {
      await transactions.rollBack()
      return EMPTY_ANSWER
    },
    set: async ({ sql }) => await set(sql),
    'session-token': async () => showToken(),
    use: async ({ sql }) => {
      await selectDatabase(/USE\s+`?([^`;\s]+)/i.exec(sql)?.[1] ?? '')
      return EMPTY_ANSWER
    },
    refused: async () => {
      throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'connections are shared between callers' })
    },
    'implicit-commit': async (statement, hint) => {
      if (transactions.open) {
        throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'it would commit the open transaction' })
      }
      return await executePlain(statement, hint)
    },
    plain: executePlain
  }

  return {
    execute: async (statement) => {
      statements++
      busy = true
      try {
        const hint = { ...defaults, ...readHint(statement.sql) }
        if (hint.session !== undefined) {
          session.enter(hint.session)
        }
        return await handlers[classifyStatement(statement.sql)](statement, hint)
      } finally {
        busy = false
      }
    },
    selectDatabase,
    reset: async () => {
      await transactions.rollBack()
      defaults = readHintValues(client.attributes)
      session = createSessionFloors(tokens, service)
    },
    close: () => { void transactions.rollBack() },
    state: () => ({
      connection: client.connectionId,
      service,
      group: groupName,
      session: session.id,
      inTransaction: transactions.open,
      busy,
      statements
    })
  }
}

function checkRows (answer: Answer, { limits }: Group): Answer {
  if (answer.type === 'rows' && answer.rows.length > limits.answerRows) {
    throw new RequestError('ran', 'AnswerTooLarge', { rows: answer.rows.length, limit: limits.answerRows })
  }
  return answer
}

function checkSize ({ sql }: Statement, group: Group): void {
  const bytes = Buffer.byteLength(sql)
  if (bytes > group.limits.statementBytes) {
    throw new RequestError('not-run', 'StatementTooLarge', { bytes, limit: group.limits.statementBytes })
  }
}
