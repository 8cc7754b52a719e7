/** A caller: a stock MySQL client that connects again when its proxy goes, and reads the verdict of errors. */
import mysql, { type Connection } from 'mysql2/promise'
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Outcome } from './history.ts'

/** Where callers connect, and as whom. */
export interface CallerTarget {
  proxies: Endpoint[]
  user: string
  password: string
  database: string
}

/** Rows of an answer. */
type Rows = Array<Record<string, unknown>>

/** A caller. */
export interface Caller {
  /** Index of the proxy it is connected to. */
  readonly proxy: number
  /** Goes to another proxy with the next request. */
  roam: (proxy: number) => Promise<void>
  /**
   * Runs a statement.
   *
   * @param sql - the statement, with its hint
   * @param values - values of its placeholders
   * @returns the rows; empty for a statement without rows
   */
  query: (sql: string, values?: Array<string | number>) => Promise<Rows>
  close: () => void
}

const CONNECT_TIMEOUT_MS = 1000
/** Time after which a caller gives up on an answer, in milliseconds. */
const QUERY_TIMEOUT_MS = 8000
const VERDICT = /\[verdict: (not-run|may-have-run|ran)\]/

/**
 * Creates a caller; it connects with its first statement.
 *
 * @param target - where and as whom
 * @param proxy - index of the first proxy
 * @returns the caller
 */
export function createCaller (target: CallerTarget, proxy: number): Caller {
  let current = proxy
  let connection: Connection | undefined

  const disconnect = (): void => {
    connection?.destroy()
    connection = undefined
  }

  const connect = async (): Promise<Connection> => {
    const { address, port } = target.proxies[current]!
    try {
      const opened = await mysql.createConnection({
        host: address,
        port,
        user: target.user,
        password: target.password,
        database: target.database,
        connectTimeout: CONNECT_TIMEOUT_MS
      })
      opened.on('error', () => {})
      return opened
    } catch (thrown) {
      throw new NotConnectedError(thrown instanceof Error ? thrown.message : String(thrown))
    }
  }

  return {
    get proxy () { return current },
    roam: async (next) => {
      if (next !== current) {
        current = next
        disconnect()
      }
    },
    query: async (sql, values) => {
      connection ??= await connect()
      try {
        const timeout = QUERY_TIMEOUT_MS
        const [rows] = values === undefined
          ? await connection.query({ sql, timeout })
          : await connection.execute({ sql, values, timeout })
        return Array.isArray(rows) ? rows as Rows : []
      } catch (thrown) {
        if (isFatal(thrown)) {
          disconnect()
        }
        throw thrown
      }
    },
    close: disconnect
  }
}

/**
 * Reads how a request ended from the error its caller got.
 *
 * @param thrown - the error
 * @returns the outcome; unknown when the connection broke
 */
export function readOutcome (thrown: unknown): Outcome {
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  if (thrown instanceof NotConnectedError) {
    return { type: 'refused', verdict: 'not-run', message }
  }
  const verdict = VERDICT.exec(message)?.[1] as 'not-run' | 'may-have-run' | 'ran' | undefined
  const answered = (thrown as { sqlState?: string }).sqlState !== undefined && !isFatal(thrown)
  return { type: 'refused', verdict: verdict ?? (answered ? 'not-run' : 'may-have-run'), message }
}

/** No connection could be made, so nothing was sent. */
class NotConnectedError extends Error {}

function isFatal (thrown: unknown): boolean {
  return (thrown as { fatal?: boolean }).fatal === true ||
    ['PROTOCOL_SEQUENCE_TIMEOUT', 'ECONNRESET', 'EPIPE', 'PROTOCOL_CONNECTION_LOST'].includes(
      (thrown as { code?: string }).code ?? '')
}
