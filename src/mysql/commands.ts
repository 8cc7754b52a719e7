/** Handlers of the MySQL commands that the server supports. */
import { writeAnswer, writeDone, writePrepared } from './answer-writer.ts'
import type { ClientHandler, Refusal } from './client-handler.ts'
import { COMMAND, MYSQL_ERROR } from './consts.ts'
import type { RowPacing } from './paced-rows.ts'
import type { PreparedStatements } from './prepared-statements.ts'
import type { ReceivedPacket, ServerConnection } from './server-connection.ts'
import { EMPTY_ANSWER } from './types.ts'

/** A received command. */
export interface ReceivedCommand {
  code: number
  packet: ReceivedPacket
}

/** State of one client's connection. */
export interface ClientState {
  connection: ServerConnection
  handler: ClientHandler
  statements: PreparedStatements
  pacing: RowPacing
  /** Maximum length of a command, in bytes. */
  statementBytes: number
}

/** Writes the answer to a command; undefined if the protocol defines no answer. */
export type AnswerWriter = (() => Promise<void> | void) | undefined

const COMMAND_HANDLERS: Record<number, (state: ClientState, packet: ReceivedPacket) => Promise<AnswerWriter>> = {
  [COMMAND.query]: async (state, packet) => {
    const answer = await state.handler.execute({ sql: readText(packet) })
    return async () => await writeAnswer(state.connection, answer, { binary: false, pacing: state.pacing })
  },
  [COMMAND.prepare]: async (state, packet) => {
    if (state.statements.full) {
      return () => state.connection.writeError({ code: 1461, message: 'too many prepared statements' })
    }
    const { statementId, parameters } = state.statements.prepare(readText(packet))
    return () => writePrepared(state.connection, statementId, parameters)
  },
  [COMMAND.execute]: async (state, packet) => {
    const body = packet.buffer.subarray(packet.offset, packet.end)
    const statementId = body.readInt32LE(0)
    const statement = state.statements.bind(statementId, body)
    if (statement === undefined) {
      return () => state.connection.writeError({ code: 1243, message: `unknown prepared statement ${statementId}` })
    }
    const answer = await state.handler.execute(statement)
    return async () => await writeAnswer(state.connection, answer, { binary: true, pacing: state.pacing })
  },
  [COMMAND.closeStatement]: async (state, packet) => {
    state.statements.close(packet.readInt32())
    return undefined
  },
  [COMMAND.resetStatement]: async (state) => () => writeDone(state.connection, EMPTY_ANSWER),
  [COMMAND.setOption]: async (state) => () => state.connection.writeEof(),
  [COMMAND.selectDatabase]: async (state, packet) => {
    await state.handler.selectDatabase(readText(packet))
    return () => writeDone(state.connection, EMPTY_ANSWER)
  },
  [COMMAND.ping]: async (state) => () => writeDone(state.connection, EMPTY_ANSWER),
  [COMMAND.resetConnection]: async (state) => {
    state.statements.closeAll()
    await state.handler.reset()
    return () => writeDone(state.connection, EMPTY_ANSWER)
  }
}

/**
 * Runs a command.
 *
 * @returns a function that writes the answer
 * @throws errors of the client's handler
 */
export async function runCommand (state: ClientState, { code, packet }: ReceivedCommand): Promise<AnswerWriter> {
  const run = COMMAND_HANDLERS[code]
  if (run === undefined) {
    const refusal: Refusal = { code: MYSQL_ERROR.unknownCommand, message: `command ${code} is not supported` }
    return () => state.connection.writeError(refusal)
  }
  if (packet.end - packet.offset > state.statementBytes) {
    const message = `the command has ${packet.end - packet.offset} bytes; the limit is ${state.statementBytes}`
    return () => state.connection.writeError({ code: 1153, message })
  }
  return await run(state, packet)
}

function readText (packet: ReceivedPacket): string {
  return packet.readString(undefined, 'utf8')
}
