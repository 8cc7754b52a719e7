/** Handles one client connection to a stand-in upstream: statements, transactions and procedures. */
import { setTimeout as sleep } from 'node:timers/promises'
import type PQueue from 'p-queue'
import { ownValue } from '../../core/own-value.ts'
import { tokenizeStatement } from '../../mysql/statement-lexer.ts'
import { EMPTY_ANSWER, type Answer, type Statement } from '../../mysql/types.ts'
import type { ClientHandler } from '../../mysql/client-handler.ts'
import { PROCEDURES, type ProcedureName } from '../../mysql-proxy/upstreams/procedures.ts'
import { firstWord, isReadStatement } from './database.ts'
import {
  contestAttempt, enterAttempt, findRow, ledgerAnswer, rowAnswer, sweepStatement, type LedgerAttempt
} from './request-ledger.ts'
import type { UpstreamTransaction } from './upstream-transaction.ts'
import type { Upstream } from './upstream.ts'

/** Injected faults of sessions. */
export interface SessionFaults {
  /** Number of further answers to lose after the statement took effect, by procedure name or first keyword. */
  loseAnswers: Map<string, number>
}

/** Options of {@link createUpstreamSession}. */
interface UpstreamSessionOptions {
  upstream: Upstream
  /** Queue that limits concurrent statements to the slots of the upstream. */
  slots: PQueue
  /** Time a read occupies a slot, in milliseconds. */
  readMs: number
  /** Time a write occupies a slot, in milliseconds. */
  writeMs: number
  faults: SessionFaults
  /** Destroys the connection. */
  destroy: () => void
}

/** Maximum wait of the wait procedure, in milliseconds. */
const MAXIMUM_WAIT_MS = 5000
/** Polling interval while the upstream is paused, in milliseconds. */
const PAUSE_POLL_MS = 5

/** State of a session. */
interface SessionState {
  options: UpstreamSessionOptions
  /** Whether autocommit is off. */
  manualCommit: boolean
  /** Whether the client has begun a transaction explicitly. */
  begun: boolean
  /** The open transaction, from its first statement on; it holds exclusive access to the database. */
  transaction?: UpstreamTransaction
  closed: boolean
}

/**
 * Creates the handler of one connection.
 *
 * @param options - upstream, slots and faults
 * @returns the handler
 */
export function createUpstreamSession (options: UpstreamSessionOptions): ClientHandler {
  const state: SessionState = { options, manualCommit: false, begun: false, closed: false }
  return {
    execute: async (statement) => {
      await waitWhilePaused(state)
      const answer = await dispatch(state, statement)
      await waitWhilePaused(state)
      loseAnswer(options, statement.sql)
      return answer
    },
    selectDatabase: async () => {},
    reset: async () => {
      endTransaction(state)
      state.manualCommit = false
    },
    close: () => {
      state.closed = true
      endTransaction(state)
    }
  }
}

async function waitWhilePaused (state: SessionState): Promise<void> {
  while (state.options.upstream.paused && !state.closed) {
    await sleep(PAUSE_POLL_MS)
  }
}

function loseAnswer ({ faults, destroy }: UpstreamSessionOptions, sql: string): void {
  const label = procedureName(sql) ?? firstWord(sql)
  const left = faults.loseAnswers.get(label) ?? 0
  if (left > 0) {
    faults.loseAnswers.set(label, left - 1)
    destroy()
  }
}

function endTransaction (state: SessionState): void {
  state.transaction?.rollback()
  state.transaction = undefined
  state.begun = false
}

async function dispatch (state: SessionState, statement: Statement): Promise<Answer> {
  const word = firstWord(statement.sql)
  const control = ownValue(CONTROL_HANDLERS, word)
  if (control !== undefined) {
    return await control(state, statement)
  }
  const { slots, readMs, writeMs, upstream } = state.options
  upstream.statementsServed++
  const serviceMs = isReadStatement(statement.sql) ? readMs : writeMs
  if (serviceMs > 0) {
    await slots.add(async () => await sleep(serviceMs))
  }
  return state.begun || state.manualCommit
    ? (await openTransaction(state)).run(statement)
    : await upstream.run(statement)
}

const CONTROL_HANDLERS: Record<string, (state: SessionState, statement: Statement) => Promise<Answer>> = {
  BEGIN: begin,
  START: begin,
  COMMIT: async (state) => {
    state.transaction?.commit()
    endTransaction(state)
    return EMPTY_ANSWER
  },
  ROLLBACK: async (state) => {
    endTransaction(state)
    return EMPTY_ANSWER
  },
  SET: async (state, { sql }) => {
    const autocommit = /autocommit\s*=\s*(\d)/i.exec(sql)?.[1]
    if (autocommit !== undefined) {
      endTransaction(state)
      state.manualCommit = autocommit === '0'
    }
    return EMPTY_ANSWER
  },
  CALL: async (state, { sql }) => {
    const name = (Object.keys(PROCEDURES) as ProcedureName[]).find((key) => PROCEDURES[key] === procedureName(sql))
    if (name === undefined) {
      throw new Error(`procedure ${procedureName(sql)} does not exist`)
    }
    return await PROCEDURE_HANDLERS[name](state, readArguments(sql))
  }
}

async function begin (state: SessionState): Promise<Answer> {
  endTransaction(state)
  state.begun = true
  return EMPTY_ANSWER
}

async function openTransaction (state: SessionState): Promise<UpstreamTransaction> {
  if (state.transaction !== undefined) {
    return state.transaction
  }
  const transaction = await state.options.upstream.begin()
  if (state.closed) {
    transaction.rollback()
    throw new Error('the connection was closed')
  }
  state.transaction = transaction
  return transaction
}

const PROCEDURE_HANDLERS: Record<ProcedureName, (state: SessionState, args: string[]) => Promise<Answer>> = {
  status: async (state) => statusAnswer(state),
  wait: async (state, [term, logTerm, position, timeoutMs]) => {
    const { upstream } = state.options
    const { end } = upstream.log
    const unchanged = upstream.status().term === Number(term) && end.term === Number(logTerm) &&
      end.position === Number(position)
    if (unchanged) {
      await upstream.waitForChange(Math.min(Number(timeoutMs), MAXIMUM_WAIT_MS))
    }
    return statusAnswer(state)
  },
  fence: async (state, [term]) => {
    const accepted = state.options.upstream.fence(Number(term))
    return statusAnswer(state, accepted)
  },
  promote: async (state, [term]) => {
    const accepted = state.options.upstream.promote(Number(term))
    return statusAnswer(state, accepted)
  },
  follow: async (state, [primary, term]) => {
    const accepted = state.options.upstream.follow(primary!, Number(term))
    return statusAnswer(state, accepted)
  },
  commit: async (state, args) => {
    const attempt = readAttempt(args)
    if (state.transaction === undefined && attempt.key === '') {
      return ledgerAnswer('entered', state.options.upstream.status())
    }
    const transaction = await openTransaction(state)
    try {
      const existing = attempt.key === '' ? undefined : enterAttempt(transaction, attempt)
      if (existing !== undefined) {
        return ledgerAnswer('exists', state.options.upstream.status(), existing)
      }
      transaction.commit()
    } finally {
      endTransaction(state)
    }
    return ledgerAnswer('entered', state.options.upstream.status())
  },
  find: async (state, args) => {
    const transaction = await state.options.upstream.begin()
    try {
      const row = findRow(transaction, readAttempt(args))
      return ledgerAnswer(row === undefined ? 'absent' : 'exists', state.options.upstream.status(), row)
    } finally {
      transaction.rollback()
    }
  },
  contest: async (state, args) => {
    if (state.options.upstream.status().role !== 'primary') {
      throw new Error('the upstream is read-only: it is not the primary')
    }
    const row = await contestAttempt(state.options.upstream, readAttempt(args))
    return ledgerAnswer('exists', state.options.upstream.status(), row)
  },
  sweep: async (state, [before, limit]) =>
    await state.options.upstream.run(sweepStatement(Number(before), Number(limit)))
}

function statusAnswer (state: SessionState, accepted?: boolean): Answer {
  const status = state.options.upstream.status()
  return rowAnswer(accepted === undefined ? status : { ...status, accepted })
}

function readAttempt (args: string[]): LedgerAttempt {
  const [scope = '', key = '', fingerprint = '', attempt = '0', createdAt = '0', affectedRows = '0', insertId = '0'] = args
  return {
    scope,
    key,
    fingerprint,
    attempt: Number(attempt),
    createdAt: Number(createdAt),
    affectedRows: Number(affectedRows),
    insertId: Number(insertId)
  }
}

function procedureName (sql: string): string | undefined {
  return /^\s*CALL\s+([a-z_]+)/i.exec(sql)?.[1]
}

function readArguments (sql: string): string[] {
  const inside = sql.slice(sql.indexOf('(') + 1, sql.lastIndexOf(')'))
  return tokenizeStatement(inside)
    .filter((token) => token.text !== ',')
    .map((token) => token.type === 'SingleQuoted'
      ? token.text.slice(1, -1).replaceAll("''", "'").replaceAll('\\\\', '\\')
      : token.text)
}
