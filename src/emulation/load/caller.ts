/** A MySQL client that reconnects after a connection failure and parses the verdict in error messages. */
import mysql, { type Connection } from 'mysql2/promise'
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Outcome } from './history.ts'

/** Proxies and credentials that callers connect with. */
export interface CallerTarget {
  proxies: Endpoint[]
  user: string
  password: string
  database: string
}

/** Result rows by column name. */
type Rows = Array<Record<string, unknown>>

/** A client session on one proxy at a time. */
export interface Caller {
  /** Index of the current proxy. */
  readonly proxy: number
  /** Switches to another proxy from the next request on. */
  roam: (proxy: number) => Promise<void>
  /**
   * Runs a statement.
   *
   * @param sql - the statement, including its hint comment
   * @param values - values of its placeholders
   * @returns the rows; empty for a statement without rows
   */
  query: (sql: string, values?: Array<string | number>) => Promise<Rows>
  close: () => void
}

const CONNECT_TIMEOUT_MS = 1000
/** Time a caller waits for an answer, in milliseconds. */
const QUERY_TIMEOUT_MS = 8000
const VERDICT = /\[verdict: (not-run|may-have-run|ran)\]/

/**
 * Creates a caller, which connects on its first statement.
 *
 * @param target - proxies and credentials
 * @param proxy - index of the proxy to start with
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
 * Derives the outcome of a request from the error that its caller received.
 *
 * @param thrown - the error
 * @returns the outcome; `may-have-run` when the connection failed before an answer
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

/** Thrown when no connection could be opened, so the statement was never sent. */
class NotConnectedError extends Error {}

function isFatal (thrown: unknown): boolean {
  return (thrown as { fatal?: boolean }).fatal === true ||
    ['PROTOCOL_SEQUENCE_TIMEOUT', 'ECONNRESET', 'EPIPE', 'PROTOCOL_CONNECTION_LOST'].includes(
      (thrown as { code?: string }).code ?? '')
}
