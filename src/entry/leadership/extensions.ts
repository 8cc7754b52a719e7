/**
 * Decides when this host's leases on primaries are extended without the store, and grants extensions to others.
 *
 * - Inputs: the age of the last confirmation (milliseconds), and the grants of the other live hosts.
 * - Rule: once the confirmation is older than {@link EXTEND_AFTER_MS}, all live hosts are asked each
 *   {@link EXTEND_INTERVAL_MS}; with a majority of them, this one included, the leases count from sending the question.
 *   A host grants when it knows the process that asks as live. `primary-leases.ts` bounds the extensions.
 * - Why: an outage of the store must not stop all work at primaries. A grant names the epochs that are closed on the
 *   granting host, so that a promoter which has stopped enough hosts need not wait longer for one that is silent.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Peers } from '../../peers/index.ts'
import { PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import type { PrimaryLeases } from './primary-leases.ts'
import { extendQuestionSchema, grantSchema, type Grant } from './types.ts'

/**
 * Age of the last confirmation by the store from which on peers are asked for extensions, in milliseconds: one read has
 * failed.
 */
export const EXTEND_AFTER_MS = 2100
/** Time between two looks at that age, in milliseconds: several fit into a lease. */
const EXTEND_INTERVAL_MS = 600
/** Time that a peer has to grant an extension, in milliseconds. */
const GRANT_MS = 500

/** Whether hosts that grant are more than half of all. */
function isMajority (grants: number, hosts: number): boolean {
  return grants * 2 > hosts
}

/** Options of {@link createExtensions}. */
interface ExtensionOptions {
  registry: Pick<Registry, 'self' | 'current' | 'peers' | 'confirmedAgeMs'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  primaryLeases: Pick<PrimaryLeases, 'close' | 'closed' | 'extend'>
  logger: Logger
}

/**
 * Asks for extensions when they are needed, and grants them to others.
 *
 * @param options - the registry, the links and the leases
 * @returns stops asking
 */
export function createExtensions ({ registry, peers, primaryLeases, logger }: ExtensionOptions): () => void {
  let extending = false

  peers.handle('extend', async (body): Promise<Grant> => {
    const { host, process } = extendQuestionSchema.parse(body)
    const known = registry.current.liveHosts.find(({ name }) => name === host)
    return { granted: known?.process === process, closed: primaryLeases.closed() }
  })
  const ask = async (peer: KnownHost): Promise<boolean> => {
    try {
      const question = { host: registry.self.name, process: registry.self.process }
      const { granted, closed } = grantSchema.parse(await peers.requestOrDisconnect(peer, 'extend', question, GRANT_MS))
      closed.forEach(({ group, epoch }) => primaryLeases.close(group, epoch))
      return granted
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return false
    }
  }
  const extend = async (): Promise<void> => {
    const askedAt = performance.now()
    const others = registry.peers()
    let grants = 1
    await Promise.all(others.map(async (peer) => {
      const granted = await ask(peer)
      grants += granted ? 1 : 0
      if (isMajority(grants, others.length + 1)) {
        primaryLeases.extend(askedAt)
      }
    }))
    const enough = isMajority(grants, others.length + 1)
    if (enough !== extending) {
      extending = enough
      logger.log(enough ? 'info' : 'warn', enough ? 'leadership.extended' : 'leadership.not-extended', {
        grants,
        hosts: others.length + 1,
        confirmedAgeMs: Math.round(registry.confirmedAgeMs()),
        leaseMs: PRIMARY_LEASE_MS
      })
    }
  }
  return repeat(EXTEND_INTERVAL_MS, async () => {
    if (registry.confirmedAgeMs() > EXTEND_AFTER_MS && Number.isFinite(registry.confirmedAgeMs())) {
      await extend()
    } else {
      extending = false
    }
  })
}
