import { createServer, type Server } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { connectPlatform, type PlatformConnection } from '../../../src/mysql-proxy/storage/index.ts'
import { startSilencingRelay, type SilencingRelay } from '../../fixtures/silencing-relay.ts'

/** Timeout of a call, in milliseconds. */
const TIMEOUT_MS = 400
const CONCURRENT = 3

describe('the platform when all idle connections to it have gone silent', () => {
  let server: Server
  let relay: SilencingRelay
  let platform: PlatformConnection
  let stopsInBody = false
  beforeEach(async () => {
    stopsInBody = false
    server = createServer((_request, response) => {
      response.writeHead(200, { 'Content-Type': 'application/x-amz-json-1.0' })
      stopsInBody ? response.write('{') : response.end('{}')
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    relay = await startSilencingRelay((server.address() as AddressInfo).port)
    const endpoint = `http://127.0.0.1:${relay.endpoint.port}`
    platform = connectPlatform({
      tableEndpoint: endpoint,
      objectEndpoint: endpoint,
      region: 'r',
      accessKey: 'key',
      secretKey: 'secret',
      table: 't',
      bucket: 'b',
      timeoutMs: TIMEOUT_MS,
      pollMs: 1000,
      hostsPollMs: 1000
    }, createDialer())
  })
  afterEach(async () => {
    platform.close()
    await relay.close()
    server.closeAllConnections()
    await new Promise((resolve) => { server.close(resolve) })
  })
  const read = async (): Promise<unknown> => await platform.table.read('p', 's')

  it('fails one call before the next one takes a new connection', async () => {
    await Promise.all(Array.from({ length: CONCURRENT }, read))
    relay.silence()
    await expect(read()).toBeRejected()
    expect(await read()).toEqual(undefined)
    expect(relay.connections).toEqual(CONCURRENT + 1)
  })

  it('fails a call whose response stops in the middle of its body', { timeout: 30_000 }, async () => {
    stopsInBody = true
    await expect(read()).toBeRejected()
  })
})
