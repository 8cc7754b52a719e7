import { deepEqual, equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import { stopSessions } from '../../../src/entry/requests/stop-sessions.ts'

interface FakeSession {
  inTransaction: boolean
  idleMs: number
  abortTransaction: (reason: string) => void
  end: () => void
}

/** Creates sessions that record calls, with the time in milliseconds since the start of the shutdown. */
function setUp () {
  const startedAt = performance.now()
  const events: Array<{ event: string, atMs: number }> = []
  const record = (event: string): void => { events.push({ event, atMs: performance.now() - startedAt }) }
  const sessions = new Set<FakeSession>()
  const add = (name: string, inTransaction: boolean): void => {
    const session: FakeSession = {
      inTransaction,
      idleMs: inTransaction ? 0 : 10_000,
      abortTransaction: (reason) => {
        record(`${name} aborted: ${reason}`)
        session.inTransaction = false
        session.idleMs = 10_000
      },
      end: () => {
        record(`${name} ended`)
        sessions.delete(session)
      }
    }
    sessions.add(session)
  }
  const stop = async (graceMs: number): Promise<void> => await stopSessions({
    sessions,
    graceMs,
    stopAccepting: () => record('accepts no more'),
    drainForwarded: async (endMs) => record(`forwarded get ${endMs > 0 ? 'time' : 'none'}`)
  })
  return { sessions, events, add, stop }
}

describe('ending sessions during a graceful shutdown', () => {
  it('closes idle sessions after the load balancer has noticed, then stops accepting callers', async () => {
    const { sessions, events, add, stop } = setUp()
    add('idle', false)
    await stop(8000)
    equal(sessions.size, 0)
    deepEqual(events.map(({ event }) => event), ['idle ended', 'accepts no more', 'forwarded get time'])
    equal(events[0]!.atMs > 2200, true)
  })

  it('aborts open transactions after half of the grace period', async () => {
    const { sessions, events, add, stop } = setUp()
    add('busy', true)
    await stop(4800)
    equal(sessions.size, 0)
    deepEqual(events.map(({ event }) => event), [
      'busy aborted: this host is stopping', 'busy ended', 'accepts no more', 'forwarded get none'
    ])
    equal(events[0]!.atMs > 2400, true)
  })
})
