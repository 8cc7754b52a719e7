/** What a worker can do, by the type of operation. Each returns what it saw; it throws what its caller got. */
import type { Caller } from './caller.ts'
import type { Operation } from './history.ts'
import { TRANSFER_HALVES } from './history.ts'
import type { RandomSource } from './random.ts'

/** A session that does operations. */
export interface Session {
  id: string
  caller: Caller
  random: RandomSource
  /** How reads name the session. */
  handle: 'token' | 'id' | 'connection'
  /** The newest token, when the session carries one. */
  token?: string
  /** Returns a new name for a request. */
  nextRequest: () => string
}

/** Operation types. */
export type OperationType = Operation['type']

/** An operation in progress: what is known of it before it ends, and the work. */
interface StartedOperation {
  operation: Operation
  run: () => Promise<void>
}

/** Registers between which transfers move amounts. */
export const REGISTERS = ['alpha', 'beta', 'gamma', 'delta']
/** Value each register starts with. */
export const REGISTER_START = 1000
const MOST_ECHO_ROWS = 40

/** Starts an operation of each type. */
export const OPERATIONS: Record<OperationType, (session: Session) => StartedOperation> = {
  purchase: (session) => {
    const request = session.nextRequest()
    return {
      operation: { type: 'purchase', request },
      run: async () => {
        const hint = hintOf(session, 'purchase', request)
        const sql = `INSERT INTO records (session, request, amount) VALUES (?, ?, 1) ${hint}`
        await session.caller.query(sql, [session.id, request])
        await carryToken(session)
      }
    }
  },
  'read-own': (session) => {
    const operation: Operation = { type: 'read-own', handle: session.handle, seen: [] }
    return {
      operation,
      run: async () => {
        const sql = `SELECT request FROM records WHERE session = ? ${hintOf(session, 'grid')}`
        const rows = await session.caller.query(sql, [session.id])
        operation.seen = rows.map((row) => String(row['request']))
        await carryToken(session)
      }
    }
  },
  transfer: (session) => {
    const request = session.nextRequest()
    const from = session.random.pick(REGISTERS)
    const to = session.random.pick(REGISTERS)
    return {
      operation: { type: 'transfer', request },
      run: async () => {
        const { caller } = session
        await caller.query('BEGIN')
        try {
          await caller.query('UPDATE registers SET value = value - 1 WHERE name = ?', [from])
          for (const half of TRANSFER_HALVES) {
            const sql = 'INSERT INTO records (session, request, amount) VALUES (?, ?, 0)'
            await caller.query(sql, [session.id, request + half])
          }
          await caller.query('UPDATE registers SET value = value + 1 WHERE name = ?', [to])
        } catch (thrown) {
          // The first failure is what is reported; a connection that cannot roll back is not used again.
          await caller.query('ROLLBACK').catch(() => caller.close())
          throw asNotRun(thrown)
        }
        await caller.query('COMMIT')
        await carryToken(session)
      }
    }
  },
  total: (session) => {
    const operation: Operation = { type: 'total', total: 0 }
    return {
      operation,
      run: async () => {
        const rows = await session.caller.query(`SELECT SUM(value) AS total FROM registers ${hintOf(session, 'grid')}`)
        operation.total = Number(rows[0]?.['total'])
      }
    }
  },
  echo: (session) => {
    const mark = session.nextRequest()
    const wanted = session.random.integer(1, MOST_ECHO_ROWS)
    const operation: Operation = { type: 'echo', mark, wanted, received: 0, foreign: 0 }
    return {
      operation,
      run: async () => {
        const sql = `WITH RECURSIVE rows (n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM rows WHERE n < ${wanted})
          SELECT n, '${mark}' AS mark FROM rows ${hintOf(session, 'grid')}`
        const rows = await session.caller.query(sql)
        operation.received = rows.length
        operation.foreign = rows.filter((row) => row['mark'] !== mark).length
      }
    }
  }
}

/** An error before COMMIT was sent: the transaction is rolled back whatever became of the statement. */
class RolledBackError extends Error {
  readonly sqlState = '40000'
}

function asNotRun (thrown: unknown): Error {
  return new RolledBackError(thrown instanceof Error ? thrown.message.replace(/\[verdict: [a-z-]+\]/, '') : String(thrown))
}

function hintOf (session: Session, kind: string, key?: string): string {
  const pairs = [`worksward_kind='${kind}'`]
  if (key !== undefined) {
    pairs.push(`worksward_key='${encodeURIComponent(key)}'`)
  }
  const handle = session.handle === 'token' ? session.token : session.handle === 'id' ? session.id : undefined
  if (handle !== undefined) {
    pairs.push(`worksward_session='${encodeURIComponent(handle)}'`)
  }
  return `/*${pairs.join(',')}*/`
}

async function carryToken (session: Session): Promise<void> {
  if (session.handle !== 'token') {
    return
  }
  const rows = await session.caller.query('SELECT @@worksward_session')
  session.token = String(rows[0]?.['@@worksward_session'])
}
