/** A proxy that passes connections on to a server and limits the bytes a second that come back, for all of them together. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

const TICK_MS = 5
const PIECE_BYTES = 1400
const BUFFER_BYTES = 65_536

/**
 * Starts the proxy.
 *
 * @param address - loopback address to listen on
 * @param port - port to listen on, and of the server
 * @param target - address of the server
 * @param megabits - megabits a second from the server
 */
export async function startNarrowLink ({ address, port, target, megabits }) {
  const queues = new Set()
  let credit = 0
  let last = performance.now()
  const drain = () => {
    const now = performance.now()
    credit = Math.min(credit + (now - last) * megabits * 1000 / 8, BUFFER_BYTES)
    last = now
    let moved = true
    while (moved && credit > 0) {
      moved = false
      for (const queue of queues) {
        const piece = credit > 0 ? queue.take(PIECE_BYTES) : undefined
        if (piece !== undefined) {
          credit -= piece.length
          moved = true
        }
      }
    }
  }
  const timer = setInterval(drain, TICK_MS)
  const sockets = new Set()
  const server = createServer({ noDelay: true, allowHalfOpen: true }, (near) => {
    const far = connect({ host: target, port, allowHalfOpen: true, noDelay: true })
    let waiting = Buffer.alloc(0)
    let hasEnded = false
    const queue = {
      take: (bytes) => {
        if (waiting.length === 0) {
          if (hasEnded) {
            queues.delete(queue)
            near.end()
          }
          return undefined
        }
        const piece = waiting.subarray(0, bytes)
        waiting = waiting.subarray(bytes)
        near.write(piece)
        if (waiting.length < BUFFER_BYTES) {
          far.resume()
        }
        return piece
      }
    }
    const drop = () => {
      queues.delete(queue)
      near.destroy()
      far.destroy()
      sockets.delete(near)
    }
    sockets.add(near)
    queues.add(queue)
    far.on('data', (data) => {
      waiting = Buffer.concat([waiting, data])
      if (waiting.length >= BUFFER_BYTES) {
        far.pause()
      }
    })
    near.on('data', (data) => far.write(data))
    near.once('end', () => far.end())
    far.once('end', () => { hasEnded = true })
    for (const socket of [near, far]) {
      socket.on('error', drop)
    }
    near.once('close', drop)
  })
  server.listen(port, address)
  await once(server, 'listening')
  return {
    close: () => {
      clearInterval(timer)
      server.close()
      sockets.forEach((socket) => socket.destroy())
    }
  }
}
