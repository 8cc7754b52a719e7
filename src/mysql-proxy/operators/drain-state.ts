/** Drains and restores proxies: this process directly, others by a peer request. */
import * as z from 'zod'
import type { Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { DrainCommand } from '../language/types.ts'
import type { Membership } from '../membership/index.ts'
import { PEER_TIMEOUT_MS } from './consts.ts'

const drainRequestSchema = z.object({ type: z.enum(['drain', 'restore']) })

/**
 * Drains or restores this process.
 *
 * @param membership - announces the change to the other members
 * @param type - whether to drain or to restore
 */
export async function drainOrRestoreSelf (membership: Membership, type: DrainCommand['type']): Promise<void> {
  if (type === 'drain') {
    await membership.leave()
  } else {
    membership.rejoin()
  }
}

/**
 * Asks another proxy to drain or restore itself.
 *
 * @param peers - links to other processes
 * @param proxy - endpoint of the proxy
 * @param type - whether to drain or to restore
 * @throws RequestError when the proxy does not answer
 */
export async function requestDrainOrRestore (peers: Peers, proxy: Endpoint, type: DrainCommand['type']): Promise<void> {
  await peers.request(proxy, 'set-work', { type }, PEER_TIMEOUT_MS)
}

/**
 * Registers the handler of requests from {@link requestDrainOrRestore}.
 *
 * @param peers - links to other processes
 * @param membership - announces the change to the other members
 */
export function handleDrainRequests (peers: Peers, membership: Membership): void {
  peers.handle('set-work', async (body) => {
    await drainOrRestoreSelf(membership, drainRequestSchema.parse(body).type)
    return true
  })
}
