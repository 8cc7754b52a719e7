/** Implements the operations of a workload. Each fills in what it observed and throws the error of its caller. */
import type { Caller } from './caller.ts'
import type { Operation } from './history.ts'
import { TRANSFER_HALVES } from './history.ts'
import type { RandomSource } from './random.ts'

/** A session that runs operations. */
export interface Session {
  id: string
  caller: Caller
  random: RandomSource
  /** How requests identify the session. */
  handle: 'token' | 'id' | 'connection'
  /** Latest session token, for the handle `token`. */
  token?: string
  /** Returns a new, unique request key. */
  nextRequest: () => string
}

/** Discriminator of {@link Operation}. */
export type OperationType = Operation['type']

/** An operation with the function that runs it and fills in what it observed. */
interface StartedOperation {
  operation: Operation
  run: () => Promise<void>
}

/** Names of the registers between which transfers move amounts. */
export const REGISTERS = ['alpha', 'beta', 'gamma', 'delta']
/** Initial value of each register. */
export const REGISTER_START = 1000
const MAXIMUM_ECHO_ROWS = 40

/** Creates an operation by its type. */
export const OPERATIONS: Record<OperationType, (session: Session) => StartedOperation> = {
  purchase: (session) => {
    const request = session.nextRequest()
    return {
      operation: { type: 'purchase', request },
      run: async () => {
        const hint = hintOf(session, 'purchase', request)
        const sql = `INSERT INTO records (session, request, amount) VALUES (?, ?, 1) ${hint}`
        await session.caller.query(sql, [session.id, request])
        await refreshToken(session)
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
        await refreshToken(session)
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
          // The original error is reported; a connection whose rollback fails is closed.
          await caller.query('ROLLBACK').catch(() => caller.close())
          throw toRolledBackError(thrown)
        }
        await caller.query('COMMIT')
        await refreshToken(session)
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
    const wanted = session.random.integer(1, MAXIMUM_ECHO_ROWS)
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

/** Error before COMMIT was sent: the transaction is rolled back, whether or not the statement ran. */
class RolledBackError extends Error {
  readonly sqlState = '40000'
}

function toRolledBackError (thrown: unknown): Error {
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

async function refreshToken (session: Session): Promise<void> {
  if (session.handle !== 'token') {
    return
  }
  const rows = await session.caller.query('SELECT @@worksward_session')
  session.token = String(rows[0]?.['@@worksward_session'])
}
