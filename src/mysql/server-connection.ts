/** Types of mysql2's server-side connection that its type definitions don't cover. */
import type { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'

/** A packet received from a client. */
export interface ReceivedPacket {
  buffer: Buffer
  offset: number
  end: number
  readInt8: () => number
  readInt32: () => number
  readString: (length: number | undefined, encoding: string) => string
}

/** A packet to send to a client. */
interface OutgoingPacket {
  buffer: Buffer
  length: () => number
  writeHeader: (sequenceId: number) => void
}

/** A client's handshake response. */
export interface AuthenticationRequest {
  user: string
  database: string
  authPluginData1: Buffer
  authPluginData2: Buffer
  authToken: Buffer
}

/** Options of the server-side handshake. */
interface HandshakeOptions {
  protocolVersion: number
  serverVersion: string
  connectionId: number
  statusFlags: number
  characterSet: number
  capabilityFlags: number
  authCallback: (
    request: AuthenticationRequest,
    done: (error: null, refusal?: { message: string, code: number }) => void
  ) => void
}

/** Server side of a client connection. */
export interface ServerConnection extends EventEmitter {
  stream: Socket
  sequenceId: number
  clientHelloReply?: { encoding: string, connectAttributes?: Record<string, string> }
  serverHandshake: (options: HandshakeOptions) => void
  writePacket: (packet: OutgoingPacket) => void
  writeOk: (options?: { affectedRows: number, insertId: number }) => void
  writeEof: () => void
  writeError: (options: { message: string, code: number }) => void
  close: () => void
}
