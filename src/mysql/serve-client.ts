/** Serves one client connection from handshake to close. */
import { greetClient } from './authentication.ts'
import type { Verdict } from '../core/errors/index.ts'
import { readArrivedInput } from '../core/time/arrived-input.ts'
import type { ServeOptions } from './client-handler.ts'
import { createCommandQueue } from './command-queue.ts'
import { runCommand, type AnswerWriter, type ClientState, type ReceivedCommand } from './commands.ts'
import { COMMAND } from './consts.ts'
import { createRowPacing } from './paced-rows.ts'
import { createPreparedStatements } from './prepared-statements.ts'
import type { ReceivedPacket, ServerConnection } from './server-connection.ts'

/** Whether a client's commands are answered with errors instead of being run. */
interface Interruption {
  /** Answers the command in progress with an error. */
  interrupt: (error: Error) => void
  /** Creates the errors; undefined while commands are run. */
  errorOf?: (verdict: Verdict) => Error
}

/**
 * Serves a client. The handler is created at the first command after authentication.
 *
 * @param connectionId - id of the connection, unique in this server
 */
export function serveClient (connection: ServerConnection, connectionId: number, options: ServeOptions): void {
  const credentials = { user: '', database: '' }
  const pacing = createRowPacing(connection, options)
  let unanswered = 0
  let state: ClientState | undefined

  connection.on('error', () => connection.stream.destroy())
  connection.stream.once('close', () => state?.handler.close())

  const openState = async (): Promise<ClientState> => {
    const handler = await options.serve({
      connectionId,
      user: credentials.user,
      database: credentials.database,
      attributes: connection.clientHelloReply?.connectAttributes ?? {},
      end: () => { void endOnceRead() },
      endNow: (errorOf) => {
        interruption.errorOf = errorOf
        interruption.interrupt(errorOf('may-have-run'))
        void endOnceRead()
      },
      destroy: () => connection.stream.destroy()
    })
    if (connection.stream.destroyed) {
      handler.close()
    }
    const { statementBytes } = options
    return { connection, handler, pacing, statements: createPreparedStatements(), statementBytes }
  }

  const interruption: Interruption = { interrupt: () => {} }
  const run = async (command: ReceivedCommand): Promise<AnswerWriter> => {
    if (interruption.errorOf !== undefined) {
      throw interruption.errorOf('not-run')
    }
    state ??= await openState()
    return await runCommand(state, command)
  }
  const queue = createCommandQueue<ReceivedCommand>(async (command) => {
    await answer(connection, options, command.code, async () => await new Promise((resolve, reject) => {
      interruption.interrupt = reject
      run(command).then(resolve, reject)
    })).catch(() => connection.stream.destroy())
    unanswered--
  }, () => connection.stream.end())

  /** Ends the connection after the commands that have arrived, also those that are not read yet. */
  const endOnceRead = async (): Promise<void> => {
    await readArrivedInput()
    queue.finishWhenIdle()
  }

  connection.on('packet', (packet: ReceivedPacket, _known: boolean, code: number) => {
    packet.readInt8()
    pacing.recordRequest(unanswered++ === 0)
    queue.add({ code, packet })
  })
  disableBuiltInHandlers(connection)
  greetClient({
    connection,
    connectionId,
    options,
    onRequest: ({ user, database }) => Object.assign(credentials, { user, database })
  })
}

/** Registers empty listeners, since mysql2 answers commands without listeners; the `packet` event handles them all. */
function disableBuiltInHandlers (connection: ServerConnection): void {
  for (const event of ['query', 'stmt_prepare', 'stmt_execute', 'init_db', 'ping', 'field_list']) {
    connection.on(event, () => {})
  }
  connection.on('quit', () => connection.stream.end())
}

/** Runs a command and writes its answer; rejects if the answer cannot be written. */
async function answer (
  connection: ServerConnection,
  options: ServeOptions,
  code: number,
  run: () => Promise<AnswerWriter>
): Promise<void> {
  if (code === COMMAND.quit) {
    return
  }
  let write: AnswerWriter
  try {
    write = await run()
  } catch (thrown) {
    write = () => connection.writeError(options.toRefusal(thrown))
  }
  if (write === undefined || connection.stream.destroyed) {
    return
  }
  connection.sequenceId = 1
  await write()
  connection.sequenceId = 0
}
