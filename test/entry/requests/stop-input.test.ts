import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createCallerPort } from '../../../platform/caller-port.ts'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { pause } from '../../../src/core/time/deadline.ts'
import type { StatementAnswer } from '../../../src/entry/ports/index.ts'
import { createCallerRequests, type CallerRequests } from '../../../src/entry/requests/caller-requests.ts'
import { stopSessions } from '../../../src/entry/requests/stop-sessions.ts'

const ADDRESS = '127.0.0.1'
const DONE: StatementAnswer = { rows: [], signature: 's.1', state: 'idle' }

const closers: Array<() => Promise<unknown> | void> = []

async function freePort (): Promise<number> {
  const server = createServer().listen(0, ADDRESS)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

/** Listens for callers whose requests are answered at once. */
async function listen () {
  const port = await freePort()
  const connections = new Set<CallerRequests>()
  const listener = await createCallerPort(silentLogger).listen({ address: ADDRESS, port }, (link) => {
    let idleSince = performance.now()
    const session = {
      get idleMs () { return performance.now() - idleSince },
      inTransaction: false,
      serve: async () => {
        idleSince = performance.now()
        return DONE
      },
      refuse: (): StatementAnswer => ({ rows: [], failure: { kind: 'busy', message: 'stopping' }, state: 'idle' }),
      interrupt: () => {},
      abortTransaction: () => {},
      close: () => {}
    }
    const requests = createCallerRequests({
      session, link, remainingMs: () => Infinity, onClose: () => connections.delete(requests)
    })
    connections.add(requests)
    return requests
  })
  closers.push(async () => await listener.close(0))
  return { port, connections, stopAccepting: listener.stopAccepting }
}

/** Keeps this process from running. */
function hold (durationMs: number): void {
  const until = performance.now() + durationMs
  while (performance.now() < until) {
    // Timers become due and input arrives meanwhile.
  }
}

describe('ending sessions in a process that was kept from running', () => {
  afterEach(async () => {
    for (const close of closers.splice(0)) {
      await close()
    }
  })

  // Guards against the end of a connection whose request has arrived, and has not been read.
  for (const [times, when] of [
    [{ endingMs: 50, transactionsMs: 5000, answersMs: 5000, flushMs: 6000, limitMs: 7000 }, 'as idle'],
    [{ endingMs: 50, transactionsMs: 100, answersMs: 200, flushMs: 6000, limitMs: 7000 }, 'when the time for answers is over']
  ] as const) {
    it(`answers a request that has arrived before its connection is ended ${when}`, async () => {
      const { port, connections, stopAccepting } = await listen()
      const socket = connect(port, ADDRESS)
      closers.push(() => { socket.destroy() })
      let received = ''
      socket.on('data', (data) => { received += data.toString() })
      socket.write('START d1 u1\r\n')
      await once(socket, 'data')
      const stopping = stopSessions({ connections, times, startedAt: performance.now(), stopAccepting })
      await pause(100)
      // The event loop runs its timers next.
      await new Promise((resolve) => { setImmediate(resolve) })
      socket.write('QUERY 7a READ k\r\n')
      hold(300)
      await once(socket, 'end')
      expect(received.split('\r\n').slice(2)).toEqual(['READY I -', ''])
      socket.destroy()
      await stopping
    })
  }
})
