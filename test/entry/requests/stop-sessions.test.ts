import { deepEqual, equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { stopSessions } from '../../../src/entry/requests/stop-sessions.ts'
import { stopTimesOf } from '../../../src/entry/requests/stop-times.ts'

interface FakeConnection {
  inTransaction: boolean
  idleMs: number
  abortTransaction: (reason: string) => void
  endAfterAnswer: () => void
  endNow: () => void
}

/** Creates connections that record calls, with the time in milliseconds since the start of the shutdown. */
function setUp () {
  const startedAt = performance.now()
  const events: Array<{ event: string, atMs: number }> = []
  const record = (event: string): void => { events.push({ event, atMs: performance.now() - startedAt }) }
  const connections = new Set<FakeConnection>()
  const add = (name: string, { inTransaction = false, idleMs = 0 }): void => {
    let isEnding = false
    const connection: FakeConnection = {
      inTransaction,
      idleMs,
      abortTransaction: (reason) => {
        record(`${name} aborted: ${reason}`)
        connection.inTransaction = false
        connection.idleMs = 10_000
      },
      endAfterAnswer: () => {
        if (!isEnding) {
          isEnding = true
          record(`${name} ends after an answer`)
        }
      },
      endNow: () => {
        record(`${name} ended`)
        connections.delete(connection)
      }
    }
    connections.add(connection)
  }
  const stop = async (graceMs: number): Promise<void> => await stopSessions({
    connections,
    times: stopTimesOf(graceMs),
    startedAt: performance.now(),
    stopAccepting: () => record('accepts no more')
  })
  return { connections, events, add, stop }
}

describe('ending sessions during a graceful shutdown', () => {
  it('stops accepting callers and closes idle sessions after the load balancer has noticed', async () => {
    const { connections, events, add, stop } = setUp()
    add('idle', { idleMs: 10_000 })
    await stop(8000)
    equal(connections.size, 0)
    deepEqual(events.map(({ event }) => event), ['accepts no more', 'idle ends after an answer', 'idle ended'])
    equal(events[0]!.atMs > 2195, true)
  })

  it('aborts open transactions after half of the grace period', async () => {
    const { connections, events, add, stop } = setUp()
    add('busy', { inTransaction: true })
    await stop(4800)
    equal(connections.size, 0)
    deepEqual(events.map(({ event }) => event), [
      'accepts no more', 'busy ends after an answer', 'busy aborted: this host is stopping', 'busy ended'
    ])
    equal(events[2]!.atMs > 2400, true)
  })

  it('ends a session that is never idle when the time for answers is over', async () => {
    const { connections, events, add, stop } = setUp()
    add('never idle', {})
    await stop(3000)
    equal(connections.size, 0)
    const { event, atMs } = events[2]!
    deepEqual([event, atMs >= stopTimesOf(3000).answersMs], ['never idle ended', true])
  })
})
