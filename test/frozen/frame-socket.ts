/** In-memory socket for encoding and decoding frames. */
import { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import { attachFrames, type FrameStream } from '../../src/core/wire/frames.ts'

/** Frames on an in-memory socket. */
export interface FrameSocket {
  frames: FrameStream
  /** Written bytes, in hexadecimal. */
  written: () => string
  /** Decoded values. */
  read: unknown[]
  /** Delivers bytes to the reader. */
  arrive: (hex: string) => void
  socket: Duplex
}

/**
 * Attaches framing to an in-memory socket.
 *
 * @returns the socket
 */
export function createFrameSocket (): FrameSocket {
  const chunks: Buffer[] = []
  const read: unknown[] = []
  const socket = new Duplex({
    read: () => {},
    write: (chunk: Buffer, _encoding, done) => {
      chunks.push(Buffer.from(chunk))
      done()
    }
  })
  socket.on('error', () => {})
  const frames = attachFrames(socket as unknown as Socket, (value) => read.push(value))
  return {
    frames,
    read,
    socket,
    written: () => Buffer.concat(chunks).toString('hex'),
    arrive: (hex) => { socket.emit('data', Buffer.from(hex, 'hex')) }
  }
}

/**
 * Encodes a value as one frame.
 *
 * @param value - the value
 * @returns the frame in hexadecimal, with its length prefix
 */
export async function encodeFrame (value: unknown): Promise<string> {
  const { frames, written } = createFrameSocket()
  frames.send(value)
  await new Promise((resolve) => setImmediate(resolve))
  return written()
}

/**
 * Decodes one frame.
 *
 * @param hex - the frame in hexadecimal, with its length prefix
 * @returns the value
 */
export function decodeFrame (hex: string): unknown {
  const { frames, arrive, read } = createFrameSocket()
  frames.trust()
  arrive(hex)
  return read[0]
}
