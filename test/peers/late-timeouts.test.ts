import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { silentLogger } from '../../src/core/logger/index.ts'
import { withTimeout } from '../../src/core/time/deadline.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { createPeerClient, type PeerClient } from '../../src/peers/peer-client.ts'
import { listenForPeers } from '../../src/peers/peer-server.ts'
import type { PeerHandler } from '../../src/peers/types.ts'

const KEY = 'a-key-for-all-the-tests'
const ADDRESS = '127.0.0.1'
const TIMEOUT_MS = 200

const closers: Array<() => Promise<void> | void> = []

/** Connects to a peer that answers when the test says so. */
async function setUp (): Promise<{ request: (timeoutMs: number) => Promise<unknown>, answer: () => Promise<void> }> {
  let finish = (): void => {}
  const handlers = new Map<string, PeerHandler>([
    ['ask', async () => await new Promise((resolve) => { finish = () => resolve('answer') })], ['greet', async () => {}]
  ])
  const peer = await listenForPeers({ host: 'peer', key: KEY, handlers, address: ADDRESS, port: 0, logger: silentLogger })
  const client: PeerClient = createPeerClient({ host: 'asker', key: KEY, dialer: createDialer() })
  closers.push(client.close, async () => await peer.close())
  const endpoint = { address: ADDRESS, port: peer.port }
  await client.request(endpoint, 'greet', {}, 5000)
  return {
    request: async (timeoutMs) => await client.request(endpoint, 'ask', {}, timeoutMs),
    answer: async () => {
      finish()
      // The answer is written before the event loop turns.
      for (let tick = 0; tick < 10; tick++) {
        await new Promise<void>((resolve) => { process.nextTick(resolve) })
      }
    }
  }
}

/** Lets the peer answer, and keeps this process from running until the timeout has passed. */
async function answerAndHold (answer: () => Promise<void>): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  await new Promise((resolve) => { setImmediate(resolve) })
  await answer()
  const until = performance.now() + TIMEOUT_MS
  while (performance.now() < until) {
    // The timeout passes.
  }
}

// Guards against timeouts for answers that have arrived, and have not been read since the process did not run.
describe('a timeout that passes while the process does not run', () => {
  afterEach(async () => {
    for (const close of closers.splice(0)) {
      await close()
    }
  })

  it('does not end a request whose answer has arrived', async () => {
    const { request, answer } = await setUp()
    const pending = request(TIMEOUT_MS)
    await answerAndHold(answer)
    expect(await pending).toEqual('answer')
  })

  it('does not end a wait whose result has arrived', async () => {
    const { request, answer } = await setUp()
    const pending = withTimeout(request(5000), TIMEOUT_MS)
    await answerAndHold(answer)
    expect(await pending).toEqual('answer')
  })
})
