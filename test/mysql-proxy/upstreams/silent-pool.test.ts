import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { EMBEDDED_ACCOUNT } from '../../../src/emulation/embedded/sizes.ts'
import { createUpstream } from '../../../src/emulation/standin/upstream.ts'
import { serveUpstream, type UpstreamServer } from '../../../src/emulation/standin/upstream-server.ts'
import { createPoolConnections } from '../../../src/mysql-proxy/upstreams/pool-connections.ts'
import { RequestError } from '../../../src/core/errors/index.ts'
import { startSilencingRelay, type SilencingRelay } from '../../fixtures/silencing-relay.ts'

const SHARE = 4
/** Timeout of a statement on a silent connection, in milliseconds. */
const TIMEOUT_MS = 200
/** Timeout of a statement that is answered, in milliseconds. */
const AMPLE_MS = 10_000

describe('a pool whose idle connections have all gone silent', () => {
  let server: UpstreamServer
  let relay: SilencingRelay
  let connections: ReturnType<typeof createPoolConnections>
  before(async () => {
    const upstream = await createUpstream({
      name: 'u', lagMs: 5, schema: [], findPeer: () => undefined, reachable: () => true
    })
    const sizes = { slots: SHARE, connections: 2 * SHARE, connectMs: 0, readMs: 0, writeMs: 0 }
    server = await serveUpstream({ upstream, address: '127.0.0.1', port: 0, ...EMBEDDED_ACCOUNT, ...sizes })
    relay = await startSilencingRelay(server.port)
    connections = createPoolConnections({
      access: { name: 'u', ...relay.endpoint, ...EMBEDDED_ACCOUNT, database: 'g' },
      dialer: createDialer(),
      share: SHARE,
      initialConcurrency: SHARE,
      onChange: () => {},
      refuse: (reason) => new RequestError('not-run', 'Overloaded', { reason, retryAfterMs: 0 } as never)
    })
  })
  after(async () => {
    connections.close()
    await relay.close()
    await server.close()
  })
  const select = async (timeoutMs: number): Promise<unknown> =>
    await connections.run(async (client) => await client.run({ sql: 'SELECT 1' }, timeoutMs, 'not-run'))

  it('fails one statement before it serves on a new connection', async () => {
    await Promise.all(Array.from({ length: SHARE }, async () => await select(AMPLE_MS)))
    expect(connections.idle).toEqual(SHARE)
    relay.silence()
    await expect(select(TIMEOUT_MS)).toBeRejected()
    await select(AMPLE_MS)
    expect(relay.connections).toEqual(SHARE + 1)
  })
})
