import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError, type Verdict } from '../../src/core/errors/index.ts'
import { requestOrDisconnect } from '../../src/peers/ask-peer.ts'

const ENDPOINT = { address: '127.0.0.1', port: 1 }

async function breaksLink (verdict: Verdict): Promise<boolean> {
  let broken = false
  const client = {
    request: async () => { throw new RequestError(verdict, 'PeerUnavailable', { peer: 'p', reason: 'no answer in time' }) },
    disconnect: () => { broken = true }
  }
  await expect(requestOrDisconnect(client, ENDPOINT, 'x', {}, 1)).toBeRejected()
  return broken
}

describe('requestOrDisconnect', () => {
  it('closes the link on timeout, so that the next request opens a new one', async () => {
    expect(await breaksLink('may-have-run')).toEqual(true)
  })
  it('closes nothing when the link could not be opened', async () => {
    expect(await breaksLink('not-run')).toEqual(false)
  })
})
