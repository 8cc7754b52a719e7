/** Takes proxies out of work and back into it: this one, or another one on its peer port. */
import * as z from 'zod'
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { DrainCommand } from '../language/types.ts'
import type { Membership } from '../membership/index.ts'
import { PEER_TIMEOUT_MS } from './consts.ts'

const setWorkSchema = z.object({ type: z.enum(['drain', 'restore']) })

/**
 * Takes this process out of work, or back into it.
 *
 * @param membership - announces it to the other members
 * @param type - which of the two
 */
export async function setOwnWork (membership: Membership, type: DrainCommand['type']): Promise<void> {
  if (type === 'drain') {
    await membership.leave()
  } else {
    membership.rejoin()
  }
}

/**
 * Takes another proxy out of work, or back into it.
 *
 * @param peers - links to other processes
 * @param proxy - where the proxy listens
 * @param type - which of the two
 * @throws RequestError when the proxy does not answer
 */
export async function requestWork (peers: Peers, proxy: Endpoint, type: DrainCommand['type']): Promise<void> {
  await peers.request(proxy, 'set-work', { type }, PEER_TIMEOUT_MS)
}

/**
 * Answers such requests of other proxies.
 *
 * @param peers - links to other processes
 * @param membership - announces the change to the other members
 */
export function answerWorkRequests (peers: Peers, membership: Membership): void {
  peers.handle('set-work', async (body) => {
    await setOwnWork(membership, setWorkSchema.parse(body).type)
    return true
  })
}
