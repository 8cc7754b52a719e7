/** Client connection to an upstream. Converts results and errors of the `mysql2` driver to the project's types. */
import type { Socket } from 'node:net'
import mysql, { type Connection, type FieldPacket, type QueryError } from 'mysql2'
import { RequestError, type Verdict } from '../core/errors/index.ts'
import { startRunningTimer, startTimer as startElapsedTimer, type TimerStarter } from '../core/time/running-timer.ts'
import type { Dialer, Endpoint } from '../core/wire/dialer.ts'
import { ConnectionLostError, lossCauseOf } from './connection-lost.ts'
import type { Answer, Cell, Column, Statement } from './types.ts'

/** Address and credentials of an upstream. */
export interface UpstreamAccess extends Endpoint {
  /** Name of the upstream, for error messages. */
  name: string
  user: string
  password: string
  database: string
}

/** Options of {@link openClient}. */
interface ClientOptions {
  access: UpstreamAccess
  dialer: Dialer
  /** Time to connect and log in, in milliseconds; time in which this process does not run is not counted. */
  connectTimeoutMs: number
  /** Starts the timers of statements; they count elapsed time when absent. */
  startTimer?: TimerStarter
}

/** A connection to an upstream. */
export interface Client {
  /** False once the connection has failed or been closed. */
  readonly usable: boolean
  /**
   * Runs a statement.
   *
   * @param timeoutMs - time after which the connection is closed, in milliseconds
   * @param lostVerdict - the verdict of the error if the connection is lost before the answer
   * @throws RequestError `StatementFailed`, `ConnectionLost` or `DeadlineExceeded`
   */
  run: (statement: Statement, timeoutMs: number, lostVerdict: Verdict) => Promise<Answer>
  /** Closes the connection immediately. */
  close: () => void
  /** Registers a listener that is called once when the connection becomes unusable. */
  onClose: (listener: () => void) => void
}

/** Maximum number of prepared statements that are cached on a connection. */
const MAXIMUM_PREPARED_STATEMENTS = 200

/**
 * Connects to an upstream and logs in.
 *
 * @throws RequestError `ConnectionLost` with verdict `not-run`
 */
export async function openClient (
  { access, dialer, connectTimeoutMs, startTimer = startElapsedTimer }: ClientOptions
): Promise<Client> {
  const connection = mysql.createConnection({
    user: access.user,
    password: access.password,
    database: access.database,
    stream: () => dialer(access),
    // The driver's own timer is off, since it counts time in which this process did not run.
    connectTimeout: 0,
    maxPreparedStatements: MAXIMUM_PREPARED_STATEMENTS,
    supportBigNumbers: true,
    bigNumberStrings: true,
    dateStrings: true,
    disableEval: false
  } as mysql.ConnectionOptions)
  await logIn(connection, access.name, connectTimeoutMs)
  return wrapConnection(connection, access.name, startTimer)
}

/** Waits for the login; destroys the connection if the login fails or times out. */
async function logIn (connection: Connection, upstream: string, timeoutMs: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const cancelTimeout = startRunningTimer(() => fail(new Error('no answer to the connection attempt')), timeoutMs)
    const fail = (error: Error): void => {
      cancelTimeout()
      connection.destroy()
      reject(new ConnectionLostError('not-run', upstream, error.message, lossCauseOf(error)))
    }
    connection.once('error', fail)
    connection.connect((error) => {
      cancelTimeout()
      if (error !== null && error !== undefined) {
        fail(error)
        return
      }
      connection.off('error', fail)
      resolve()
    })
  })
}

function wrapConnection (connection: Connection, upstream: string, startTimer: TimerStarter): Client {
  let usable = true
  const listeners: Array<() => void> = []
  const disconnect = (): void => {
    if (!usable) {
      return
    }
    usable = false
    connection.destroy()
    listeners.forEach((listener) => listener())
  }
  const stream = (connection as unknown as { stream: Socket }).stream
  connection.on('error', disconnect)
  stream.once('close', disconnect)

  const withTimeout = async <Result>(
    timeoutMs: number,
    lostVerdict: Verdict,
    start: (done: (error: QueryError | null, result?: Result) => void) => void
  ): Promise<Result> => await new Promise<Result>((resolve, reject) => {
    if (!usable) {
      reject(new ConnectionLostError('not-run', upstream, 'it was closed', 'other'))
      return
    }
    const reason = 'it broke before the answer'
    const onLost = (): void =>
      finish(() => reject(new ConnectionLostError(lostVerdict, upstream, reason, 'broken')))
    const cancelTimeout = startTimer(() => {
      finish(() => reject(new RequestError(lostVerdict, 'DeadlineExceeded', {
        deadlineMs: timeoutMs, stage: `waiting for upstream ${upstream}`
      })))
      disconnect()
    }, timeoutMs)
    let finished = false
    const finish = (settle: () => void): void => {
      if (finished) {
        return
      }
      finished = true
      cancelTimeout()
      listeners.splice(listeners.indexOf(onLost), 1)
      settle()
    }
    listeners.push(onLost)
    start((error, result) => finish(() => {
      if (error === null) {
        resolve(result as Result)
        return
      }
      reject(toError(error, upstream, lostVerdict))
    }))
  })

  return {
    get usable () { return usable },
    run: async (statement, timeoutMs, lostVerdict) =>
      await withTimeout<Answer>(timeoutMs, lostVerdict, (done) => startStatement(connection, statement, done)),
    close: disconnect,
    onClose: (listener) => { usable ? listeners.push(listener) : listener() }
  }
}

function startStatement (
  connection: Connection,
  { sql, values }: Statement,
  done: (error: QueryError | null, result?: Answer) => void
): void {
  const onResult = (error: QueryError | null, result: unknown, fields?: FieldPacket[]): void => {
    if (error !== null) {
      done(error)
      return
    }
    done(null, toAnswer(result, fields))
  }
  if (values === undefined) {
    connection.query({ sql, rowsAsArray: true, typeCast: false }, onResult)
    return
  }
  connection.execute({ sql, values: values as never, rowsAsArray: true }, onResult)
}

function toAnswer (result: unknown, fields: FieldPacket[] | undefined): Answer {
  const isProcedure = Array.isArray(fields?.[0])
  if (isProcedure) {
    return toAnswer((result as unknown[])[0], fields![0] as unknown as FieldPacket[])
  }
  if (fields === undefined || !Array.isArray(result)) {
    const { affectedRows, insertId } = result as { affectedRows: number, insertId: number }
    return { type: 'done', affectedRows, insertId }
  }
  return { type: 'rows', columns: fields.map(toColumn), rows: result.map((row: unknown[]) => row.map(toCell)) }
}

function toColumn (field: FieldPacket): Column {
  const definition = field as unknown as Column
  return {
    name: definition.name,
    type: definition.type,
    flags: Number(definition.flags),
    characterSet: definition.characterSet,
    columnLength: definition.columnLength,
    decimals: definition.decimals
  }
}

function toCell (value: unknown): Cell {
  if (value === null || value === undefined) {
    return null
  }
  return Buffer.isBuffer(value) ? value : Buffer.from(String(value))
}

function toError (error: QueryError, upstream: string, lostVerdict: Verdict): Error {
  const fromServer = error.errno !== undefined && error.errno > 0 && error.sqlState !== undefined && !error.fatal
  if (fromServer) {
    return new RequestError('not-run', 'StatementFailed', { code: error.errno!, reason: error.message })
  }
  return new ConnectionLostError(lostVerdict, upstream, error.message, lossCauseOf(error))
}
