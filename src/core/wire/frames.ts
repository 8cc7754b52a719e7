/** Framing of messages on a TCP connection: a length of four bytes (big-endian), then a CBOR value. */
import { Decoder, Encoder } from 'cbor-x'
import type { Socket } from 'node:net'

const LENGTH_BYTES = 4
/** Maximum size of a frame from an authenticated peer, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024
/** Maximum size of a frame before authentication, in bytes. */
export const MAXIMUM_HELLO_BYTES = 1024
/** Maximum size of a value that is copied behind its length, in bytes; a larger one is written separately. */
const COPIED_BYTES = 64 * 1024

/**
 * Frequent field names, encoded as their number to reduce traffic between failure domains. The numbers are part of
 * the wire format: append new names, and never reorder or remove any.
 */
const ABBREVIATED_KEYS = [
  'id', 'type', 'body', 'failure', 'verdict', 'entry', 'details', 'leftMs', 'inTimeMs', 'values', 'step', 'upstream',
  'priority', 'epoch', 'after', 'begin', 'transaction', 'access', 'text', 'prepared', 'shape', 'parameters', 'begun',
  'answer', 'lost', 'reason', 'load', 'leaving', 'rows', 'signature', 'kind', 'message', 'state', 'position', 'term',
  'costMs', 'ranMs', 'version', 'digest', 'ageMs', 'group', 'proofs'
]
const keyMap = Object.fromEntries(ABBREVIATED_KEYS.map((name, index) => [name, index + 1]))

const encoder = new Encoder({ useRecords: false, structuredClone: false, keyMap })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true, keyMap })

/** Sending side of a framed socket. */
export interface FrameStream {
  /**
   * Sends a value.
   *
   * @param value - a value that CBOR can encode
   * @returns false when the socket's buffer is full
   */
  send: (value: unknown) => boolean
  /** Raises the size limit of incoming frames; called once the peer is authenticated. */
  trust: () => void
}

/**
 * Reads and writes frames on a socket. A frame that is too large or malformed destroys the socket.
 *
 * @param socket - the socket
 * @param onFrame - called with each decoded value
 * @returns the sending side
 */
export function attachFrames (socket: Socket, onFrame: (value: unknown) => void): FrameStream {
  let limit = MAXIMUM_HELLO_BYTES
  let chunks: Buffer[] = []
  let buffered = 0
  let bytesNeeded = LENGTH_BYTES

  const readFrames = (): void => {
    let data = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
    bytesNeeded = LENGTH_BYTES
    while (data.length >= LENGTH_BYTES && !socket.destroyed) {
      const length = data.readUInt32BE(0)
      if (length > limit) {
        socket.destroy(new Error(`frame of ${length} bytes exceeds the limit of ${limit}`))
        return
      }
      bytesNeeded = LENGTH_BYTES + length
      if (data.length < bytesNeeded) {
        break
      }
      const body = data.subarray(LENGTH_BYTES, bytesNeeded)
      data = data.subarray(bytesNeeded)
      bytesNeeded = LENGTH_BYTES
      onFrame(decoder.decode(body))
    }
    chunks = data.length > 0 ? [data] : []
    buffered = data.length
  }

  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk)
    buffered += chunk.length
    if (buffered < bytesNeeded) {
      return
    }
    try {
      readFrames()
    } catch (thrown) {
      socket.destroy(thrown instanceof Error ? thrown : new Error('malformed frame'))
    }
  })

  let isCorked = false
  /** Collects the frames of one turn, so that they reach the operating system in one write. */
  const corkUntilTurnEnds = (): void => {
    if (!isCorked) {
      isCorked = true
      socket.cork()
      process.nextTick(() => {
        isCorked = false
        socket.uncork()
      })
    }
  }
  return {
    trust: () => { limit = MAXIMUM_FRAME_BYTES },
    send: (value) => {
      const body = encoder.encode(value)
      // A single buffer is written without the array of buffers that a header of its own would need.
      const isCopied = body.length <= COPIED_BYTES
      const frame = Buffer.allocUnsafe(isCopied ? LENGTH_BYTES + body.length : LENGTH_BYTES)
      frame.writeUInt32BE(body.length, 0)
      corkUntilTurnEnds()
      if (!isCopied) {
        socket.write(frame)
        return socket.write(body)
      }
      frame.set(body, LENGTH_BYTES)
      return socket.write(frame)
    }
  }
}
