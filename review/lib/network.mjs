/** Free loopback addresses, and the pause that all parts of a case use. */
import { createServer } from 'node:net'

const PROBE_PORT = 8784

/** Waits for a time in milliseconds. */
export async function pause (durationMs) {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, durationMs)))
}

async function isFree (address) {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(PROBE_PORT, address, () => server.close(() => resolve(true)))
  })
}

/** Returns the first three numbers of a loopback network in which no case of this machine runs now. */
export async function freeNetwork () {
  for (;;) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    if (await isFree(`${network}.2`)) {
      return network
    }
  }
}
