/** Writes lines to a file descriptor; never blocks the event loop and buffers a bounded amount. */
import { createWriteStream } from 'node:fs'
import type { LineSink } from './index.ts'

/** Maximum bytes buffered for a slow reader; further lines are dropped. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024

/**
 * Creates the stream. Lines beyond the buffer are dropped; their number is logged once there is room again.
 *
 * @param descriptor - file descriptor, such as standard output
 * @returns the stream
 */
export function createBoundedStream (descriptor: number): LineSink {
  const target = createWriteStream('', { fd: descriptor, autoClose: false })
  let hasFailed = false
  let dropped = 0
  target.on('error', () => { hasFailed = true })
  return {
    write: (line) => {
      if (hasFailed || target.writableLength > MAXIMUM_BUFFERED_BYTES) {
        dropped++
        return
      }
      if (dropped > 0) {
        target.write(`level=warn event=log.dropped lines=${dropped}\n`)
        dropped = 0
      }
      target.write(line)
    }
  }
}
