/** Server side of the MySQL handshake: greeting, password check and admission control. */
import { createRequire } from 'node:module'
import type { Refusal, ServeOptions } from './client-handler.ts'
import { MYSQL_ERROR, SERVER_CAPABILITIES, TEXT_CHARACTER_SET } from './consts.ts'
import type { AuthenticationRequest, ServerConnection } from './server-connection.ts'

const require = createRequire(import.meta.url)
const { verifyToken } = require(
  require.resolve('mysql2').replace(/index\.js$/, 'lib/auth_41.js')
) as { verifyToken: (seed1: Buffer, seed2: Buffer, token: Buffer, doubleSha: Buffer) => boolean }

/** Status flag: autocommit. */
const AUTOCOMMIT = 2
const SERVER_VERSION = '8.0.36-worksward'
/** Time a client may take for the handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 5000

/** Options of {@link greetClient}. */
interface GreetOptions {
  connection: ServerConnection
  connectionId: number
  options: ServeOptions
  /** Called with the client's credentials before they are checked. */
  onRequest: (request: AuthenticationRequest) => void
}

/**
 * Performs the handshake. A client that doesn't complete it in time is disconnected.
 */
export function greetClient ({ connection, connectionId, options, onRequest }: GreetOptions): void {
  const timer = setTimeout(() => connection.stream.destroy(), HANDSHAKE_TIMEOUT_MS)
  connection.stream.once('close', () => clearTimeout(timer))
  connection.serverHandshake({
    protocolVersion: 10,
    serverVersion: SERVER_VERSION,
    connectionId,
    statusFlags: AUTOCOMMIT,
    characterSet: TEXT_CHARACTER_SET,
    capabilityFlags: SERVER_CAPABILITIES,
    authCallback: (request, done) => {
      clearTimeout(timer)
      onRequest(request)
      void checkClient(connection, request, options).then((refusal) => {
        if (!connection.stream.destroyed) {
          done(null, refusal)
          connection.sequenceId = 0
        }
      }).catch(() => connection.stream.destroy())
    }
  })
}

async function checkClient (
  connection: ServerConnection, request: AuthenticationRequest, options: ServeOptions
): Promise<Refusal | undefined> {
  return checkPassword(request, options) ??
    await options.admit?.((listener) => connection.stream.once('close', listener))
}

function checkPassword (request: AuthenticationRequest, options: ServeOptions): Refusal | undefined {
  const expected = options.findPasswordHash(request.user, request.database)
  const accepted = expected !== undefined && request.authToken.length === expected.length &&
    verifyToken(request.authPluginData1, request.authPluginData2.subarray(0, 12), request.authToken, expected)
  return accepted ? undefined : { code: MYSQL_ERROR.accessDenied, message: `access denied for '${request.user}'` }
}
