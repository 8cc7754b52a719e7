/** A stream to a file descriptor that never blocks the event loop and never holds more than a bounded amount. */
import { createWriteStream } from 'node:fs'
import { Writable } from 'node:stream'

/** Bytes that may wait for a slow reader; about ten seconds of full log budgets would not fit, and are dropped. */
const WAITING_BYTES = 256 * 1024

/**
 * Creates the stream. Lines that find no room are dropped; a line says how many once there is room again.
 *
 * @param descriptor - file descriptor, such as standard output
 * @returns the stream
 */
export function createBoundedStream (descriptor: number): Writable {
  const target = createWriteStream('', { fd: descriptor, autoClose: false })
  let broken = false
  let dropped = 0
  target.on('error', () => { broken = true })
  return new Writable({
    decodeStrings: false,
    write: (chunk: string | Buffer, _encoding, done) => {
      if (broken || target.writableLength > WAITING_BYTES) {
        dropped++
      } else {
        if (dropped > 0) {
          target.write(`level=warn event=log.dropped lines=${dropped}\n`)
          dropped = 0
        }
        target.write(chunk)
      }
      done()
    }
  })
}
