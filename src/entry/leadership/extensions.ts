/**
 * Extends this host's leases on primaries without the store, and grants extensions to peers, so that an outage of the
 * store does not stop all work at primaries. A majority of all hosts in the snapshot, retired ones included, must grant
 * an extension, and only registered hosts with a recent confirmation request or grant one; `silent-leases.ts` relies on
 * both. It is dated to the request, and `primary-leases.ts` limits how long extensions last. A grant lists, for each
 * group that the granting host knows, the newest epoch in which the primary may not be used, and this host then
 * stops its work in it. A host that was restarted knows it from the group's row.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Peers } from '../../peers/index.ts'
import { EXTENDED_LEASE_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import type { PrimaryLeases } from './primary-leases.ts'
import type { LocalWorkStop } from './stop-local-work.ts'
import { extendRequestSchema, grantSchema, type ClosedEpoch, type Grant } from './types.ts'

/**
 * Age of the last confirmation by the store beyond which peers are asked for extensions, in milliseconds: one read must
 * have failed.
 */
export const EXTEND_AFTER_MS = 2100
/** Interval at which that age is checked, in milliseconds; several fit into a lease. */
const EXTEND_INTERVAL_MS = 600
/** Timeout of a request for an extension, in milliseconds. */
const GRANT_TIMEOUT_MS = 500

function isMajority (grants: number, hosts: number): boolean {
  return grants * 2 > hosts
}

/** Options of {@link createExtensions}. */
interface ExtensionOptions {
  registry: Pick<Registry, 'self' | 'current' | 'confirmedAgeMs' | 'isRegistered'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  primaryLeases: Pick<PrimaryLeases, 'endedEpochs' | 'recordExtension'>
  localWork: Pick<LocalWorkStop, 'closeEpoch'>
  logger: Logger
}

/**
 * Requests extensions while the store does not confirm the leases, and grants extensions to peers.
 *
 * @param options - the registry, the links to peers, the leases and the stop of local work
 * @returns a function that stops the requests
 */
export function createExtensions ({ registry, peers, primaryLeases, localWork, logger }: ExtensionOptions): () => void {
  let wasExtended = false

  /** Whether this host may request and grant extensions. */
  const mayTakePart = (): boolean => registry.isRegistered() && registry.confirmedAgeMs() <= EXTENDED_LEASE_MS

  peers.handle('extend', async (body): Promise<Grant> => {
    const { host, process } = extendRequestSchema.parse(body)
    const liveHost = registry.current.liveHosts.find(({ name }) => name === host)
    const mayGrant = mayTakePart() && liveHost?.process === process
    return { granted: mayGrant, closed: primaryLeases.endedEpochs() }
  })
  /** Stops the work in an epoch that is over: what is in progress must not last as long as the leases are extended. */
  const stopWorkIn = ({ group, epoch }: ClosedEpoch): void => {
    if (!primaryLeases.endedEpochs().some((ended) => ended.group === group && ended.epoch >= epoch)) {
      void localWork.closeEpoch(group, epoch)
    }
  }
  const requestGrant = async (peer: KnownHost): Promise<boolean> => {
    try {
      const request = { host: registry.self.name, process: registry.self.process }
      const { granted, closed } = grantSchema.parse(await peers.requestOrDisconnect(peer, 'extend', request, GRANT_TIMEOUT_MS))
      closed.forEach(stopWorkIn)
      return granted
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return false
    }
  }
  const extend = async (): Promise<void> => {
    const askedAt = performance.now()
    const confirmedAt = askedAt - registry.confirmedAgeMs()
    const others = registry.current.hosts.filter(({ name }) => name !== registry.self.name)
    let grants = 1
    const grantedBy: string[] = []
    await Promise.all(others.map(async (peer) => {
      const granted = await requestGrant(peer)
      if (granted) {
        grants++
        grantedBy.push(peer.name)
      }
      if (isMajority(grants, others.length + 1)) {
        primaryLeases.recordExtension({ askedAt, confirmedAt })
      }
    }))
    const isExtended = isMajority(grants, others.length + 1)
    if (isExtended !== wasExtended) {
      wasExtended = isExtended
      logger.log(isExtended ? 'info' : 'warn', isExtended ? 'leadership.extended' : 'leadership.not-extended', {
        grants,
        by: grantedBy.join(' '),
        hosts: others.length + 1,
        confirmedAgeMs: Math.round(registry.confirmedAgeMs()),
        leaseMs: PRIMARY_LEASE_MS
      })
    }
  }
  return repeat(EXTEND_INTERVAL_MS, async () => {
    if (registry.confirmedAgeMs() > EXTEND_AFTER_MS && mayTakePart()) {
      await extend()
    } else {
      wasExtended = false
    }
  })
}
