import { describe, it } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { expect } from 'earl'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { EMBEDDED_ACCOUNT } from '../../src/emulation/embedded/sizes.ts'
import { createUpstream } from '../../src/emulation/standin/upstream.ts'
import { serveUpstream } from '../../src/emulation/standin/upstream-server.ts'
import { openClient } from '../../src/mysql/client.ts'

const CONNECT_TIMEOUT_MS = 200
const STALL_MS = 250

describe('openClient', () => {
  // Guards against an upstream that counts as unreachable because this process did not run during the login.
  it('logs in although the process does not run for longer than the timeout', async () => {
    const upstream = await createUpstream({
      name: 'u', lagMs: 5, schema: [], findPeer: () => undefined, reachable: () => true
    })
    const sizes = { slots: 1, connections: 1, connectMs: 0, readMs: 0, writeMs: 0 }
    const server = await serveUpstream({ upstream, address: '127.0.0.1', port: 0, ...EMBEDDED_ACCOUNT, ...sizes })
    const access = { name: 'u', address: '127.0.0.1', port: server.port, ...EMBEDDED_ACCOUNT, database: 'g' }
    const opening = openClient({ access, dialer: createDialer(), connectTimeoutMs: CONNECT_TIMEOUT_MS })
      .then((client) => client, (thrown: Error) => thrown)
    for (let stalls = 0; stalls < 2; stalls++) {
      const until = performance.now() + STALL_MS
      while (performance.now() < until) {
        // Keeps the event loop from running.
      }
      await nextTurn()
    }
    const client = await opening
    expect(client instanceof Error ? client.message : 'logged in').toEqual('logged in')
    client instanceof Error || client.close()
    await server.close()
  })
})
