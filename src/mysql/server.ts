/** The server side of the MySQL protocol: accepts clients and hands their commands to a handler, one at a time. */
import { createRequire } from 'node:module'
import { createServer, type Socket } from 'node:net'
import mysql, { type ConnectionOptions } from 'mysql2'
import { COMMAND, MYSQL_ERROR, SERVER_CAPABILITIES, TEXT_CHARACTER_SET } from './consts.ts'
import { countPlaceholders } from './statement-lexer.ts'
import { writeAnswer, writePrepared } from './answer-writer.ts'
import type { AuthenticationRequest, ReceivedPacket, ServerConnection } from './server-connection.ts'
import { decodeExecution, type ParameterTypes } from './execute-decoder.ts'
import { EMPTY_ANSWER, type Answer, type Statement } from './types.ts'

const require = createRequire(import.meta.url)
const { verifyToken } = require(
  require.resolve('mysql2').replace(/index\.js$/, 'lib/auth_41.js')
) as { verifyToken: (seed1: Buffer, seed2: Buffer, token: Buffer, doubleSha: Buffer) => boolean }

/** Status flag: autocommit. */
const AUTOCOMMIT = 2
const SERVER_VERSION = '8.0.36-worksward'
/** Time a client may take for the handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 5000
/** Prepared statements a connection may hold. */
const MAXIMUM_PREPARED_STATEMENTS = 1000

/** A refusal sent to the client as a MySQL error. */
export interface Refusal {
  code: number
  message: string
}

/** Serves one client. */
export interface ClientHandler {
  /** Runs a statement; throws to answer with an error. */
  execute: (statement: Statement) => Promise<Answer>
  /** Makes a database the connection's default. */
  selectDatabase: (database: string) => Promise<void>
  /** Forgets all state of the connection. */
  reset: () => Promise<void>
  /** Called once when the connection is gone. */
  close: () => void
}

/** A client that has authenticated itself. */
export interface ClientHello {
  connectionId: number
  user: string
  database: string
  /** Connection attributes the client sent. */
  attributes: Record<string, string>
  remoteAddress: string
  /** Ends the connection once the command in progress is answered. */
  end: () => void
  /** Ends the connection at once. */
  destroy: () => void
}

/** Options of {@link listenMysql}. */
interface MysqlServerOptions {
  address: string
  port: number
  /** Bytes a single command may have; a larger one ends with an error. */
  statementBytes: number
  /**
   * Says how to check a user.
   *
   * @param user - the name
   * @returns SHA1(SHA1(password)), or undefined for an unknown user
   */
  findPasswordHash: (user: string, database: string) => Buffer | undefined
  /**
   * Decides whether one more client may connect.
   *
   * @param onClose - registers a listener for the end of the connection
   * @returns a refusal, or undefined to accept
   */
  admit?: (onClose: (listener: () => void) => void) => Promise<Refusal | undefined>
  /** Creates the handler of an authenticated client. */
  serve: (client: ClientHello) => ClientHandler | Promise<ClientHandler>
  /** Turns what a handler threw into a MySQL error. */
  toRefusal: (thrown: unknown) => Refusal
}

/** A listening server. */
export interface ListeningServer {
  port: number
  /** Stops accepting clients; those connected stay. */
  stopAccepting: () => void
  /** Ends everything. */
  close: () => Promise<void>
}

/**
 * Starts a server.
 *
 * @param options - address, credentials and handler
 * @returns the listening server
 */
export async function listenMysql (options: MysqlServerOptions): Promise<ListeningServer> {
  const clients = new Set<Socket>()
  let nextConnectionId = 1
  const server = createServer({ noDelay: true }, (socket) => {
    clients.add(socket)
    socket.once('close', () => clients.delete(socket))
    serveConnection(acceptClient(socket), nextConnectionId++, options)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.address, resolve)
  })
  const bound = server.address()
  return {
    port: typeof bound === 'object' && bound !== null ? bound.port : options.port,
    stopAccepting: () => { server.close() },
    close: async () => {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      clients.forEach((client) => client.destroy())
      await closed
    }
  }
}

/**
 * Puts the server side of the protocol on a socket. mysql2's own server gives each connection room for 16,000 prepared
 * statements of the client side, half a megabyte that is never used here.
 */
function acceptClient (socket: Socket): ServerConnection {
  const config = { stream: socket, isServer: true, maxPreparedStatements: 1 }
  return mysql.createConnection(config as unknown as ConnectionOptions) as unknown as ServerConnection
}

/** A received command. */
interface ReceivedCommand {
  code: number
  packet: ReceivedPacket
}

/** A statement a client prepared. */
interface PreparedStatement {
  sql: string
  parameters: number
  /** Types of the last execution. */
  types: ParameterTypes
}

/** State of one client's connection. */
interface ClientState {
  connection: ServerConnection
  options: MysqlServerOptions
  handler: ClientHandler
  statements: Map<number, PreparedStatement>
  nextStatementId: number
}

function serveConnection (connection: ServerConnection, connectionId: number, options: MysqlServerOptions): void {
  const queue: ReceivedCommand[] = []
  let user = ''
  let database = ''
  let state: ClientState | undefined
  let busy = false
  let ending = false

  connection.on('error', () => connection.stream.destroy())
  const handshakeTimer = setTimeout(() => connection.stream.destroy(), HANDSHAKE_TIMEOUT_MS)
  connection.stream.once('close', () => {
    clearTimeout(handshakeTimer)
    state?.handler.close()
  })

  const authenticate = (
    request: AuthenticationRequest,
    done: (error: null, refusal?: { message: string, code: number }) => void
  ): void => {
    clearTimeout(handshakeTimer)
    user = request.user
    database = request.database
    const refuseOrAdmit = async (): Promise<Refusal | undefined> =>
      checkPassword(request, options) ??
      await options.admit?.((listener) => connection.stream.once('close', listener))
    void refuseOrAdmit().then((refusal) => {
      if (!connection.stream.destroyed) {
        done(null, refusal)
        connection.sequenceId = 0
      }
    })
  }

  const end = (): void => {
    ending = true
    if (!busy && queue.length === 0) {
      connection.stream.end()
    }
  }

  const openState = async (): Promise<ClientState> => {
    const handler = await options.serve({
      connectionId,
      user,
      database,
      attributes: connection.clientHelloReply?.connectAttributes ?? {},
      remoteAddress: connection.stream.remoteAddress ?? '',
      end,
      destroy: () => connection.stream.destroy()
    })
    if (connection.stream.destroyed) {
      handler.close()
    }
    return { connection, options, handler, statements: new Map(), nextStatementId: 1 }
  }

  const work = async (): Promise<void> => {
    busy = true
    for (let command = queue.shift(); command !== undefined; command = queue.shift()) {
      const current = command
      await answer(connection, options, current.code, async () => {
        state ??= await openState()
        return await runCommand(state, current)
      })
    }
    busy = false
    if (ending) {
      connection.stream.end()
    }
  }

  connection.on('packet', (packet: ReceivedPacket, _known: boolean, code: number) => {
    packet.readInt8()
    queue.push({ code, packet })
    if (!busy) {
      void work()
    }
  })
  silenceBuiltInHandlers(connection)
  connection.serverHandshake({
    protocolVersion: 10,
    serverVersion: SERVER_VERSION,
    connectionId,
    statusFlags: AUTOCOMMIT,
    characterSet: TEXT_CHARACTER_SET,
    capabilityFlags: SERVER_CAPABILITIES,
    authCallback: authenticate
  })
}

/** Every command is taken from the `packet` event; these listeners only keep mysql2 from answering itself. */
function silenceBuiltInHandlers (connection: ServerConnection): void {
  for (const event of ['query', 'stmt_prepare', 'stmt_execute', 'init_db', 'ping', 'field_list']) {
    connection.on(event, () => {})
  }
  connection.on('quit', () => connection.stream.end())
}

function checkPassword (request: AuthenticationRequest, options: MysqlServerOptions): Refusal | undefined {
  const expected = options.findPasswordHash(request.user, request.database)
  const accepted = expected !== undefined && request.authToken.length === expected.length &&
    verifyToken(request.authPluginData1, request.authPluginData2.subarray(0, 12), request.authToken, expected)
  return accepted ? undefined : { code: MYSQL_ERROR.accessDenied, message: `access denied for '${request.user}'` }
}

/** What a command writes; undefined where the protocol has no answer. */
type Write = (() => void) | undefined

/** Runs one command and writes its answer in one piece. */
async function answer (
  connection: ServerConnection,
  options: MysqlServerOptions,
  code: number,
  run: () => Promise<Write>
): Promise<void> {
  if (code === COMMAND.quit) {
    return
  }
  let write: Write
  try {
    write = await run()
  } catch (thrown) {
    write = () => connection.writeError(options.toRefusal(thrown))
  }
  if (write === undefined || connection.stream.destroyed) {
    return
  }
  connection.stream.cork()
  connection.sequenceId = 1
  write()
  connection.sequenceId = 0
  connection.stream.uncork()
}

async function runCommand (state: ClientState, { code, packet }: ReceivedCommand): Promise<Write> {
  const run = COMMAND_HANDLERS[code]
  if (run === undefined) {
    const refusal: Refusal = { code: MYSQL_ERROR.unknownCommand, message: `command ${code} is not supported` }
    return () => state.connection.writeError(refusal)
  }
  if (packet.end - packet.offset > state.options.statementBytes) {
    const message = `the command has ${packet.end - packet.offset} bytes; the limit is ${state.options.statementBytes}`
    return () => state.connection.writeError({ code: 1153, message })
  }
  return await run(state, packet)
}

const COMMAND_HANDLERS: Record<number, (state: ClientState, packet: ReceivedPacket) => Promise<Write>> = {
  [COMMAND.query]: async (state, packet) => {
    const answer = await state.handler.execute({ sql: readText(packet) })
    return () => writeAnswer(state.connection, answer, false)
  },
  [COMMAND.prepare]: async (state, packet) => {
    if (state.statements.size >= MAXIMUM_PREPARED_STATEMENTS) {
      return () => state.connection.writeError({ code: 1461, message: 'too many prepared statements' })
    }
    const sql = readText(packet)
    const statementId = state.nextStatementId++
    const parameters = countPlaceholders(sql)
    state.statements.set(statementId, { sql, parameters, types: [] })
    return () => writePrepared(state.connection, statementId, parameters)
  },
  [COMMAND.execute]: async (state, packet) => {
    const body = packet.buffer.subarray(packet.offset, packet.end)
    const statementId = body.readInt32LE(0)
    const statement = state.statements.get(statementId)
    if (statement === undefined) {
      return () => state.connection.writeError({ code: 1243, message: `unknown prepared statement ${statementId}` })
    }
    const { values, types } = decodeExecution(body, statement.parameters, statement.types)
    statement.types = types
    const answer = await state.handler.execute({ sql: statement.sql, values })
    return () => writeAnswer(state.connection, answer, true)
  },
  [COMMAND.closeStatement]: async (state, packet) => {
    state.statements.delete(packet.readInt32())
    return undefined
  },
  [COMMAND.resetStatement]: async (state) => () => writeAnswer(state.connection, EMPTY_ANSWER, false),
  [COMMAND.setOption]: async (state) => () => state.connection.writeEof(),
  [COMMAND.selectDatabase]: async (state, packet) => {
    await state.handler.selectDatabase(readText(packet))
    return () => writeAnswer(state.connection, EMPTY_ANSWER, false)
  },
  [COMMAND.ping]: async (state) => () => writeAnswer(state.connection, EMPTY_ANSWER, false),
  [COMMAND.resetConnection]: async (state) => {
    state.statements.clear()
    await state.handler.reset()
    return () => writeAnswer(state.connection, EMPTY_ANSWER, false)
  }
}

function readText (packet: ReceivedPacket): string {
  return packet.readString(undefined, 'utf8')
}
