/**
 * Extends this host's rights while the store does not answer it: a majority of the registered hosts, itself included,
 * grants a short time more. A host that has stopped working at a primary says so with its grant, so that a promoter
 * which has stopped enough hosts need not wait longer for one that is silent.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Peers } from '../../peers/index.ts'
import { PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import { EXTEND_AFTER_MS, EXTEND_LOOK_MS, GRANT_MS } from './consts.ts'
import type { PrimaryLeases } from './primary-leases.ts'
import { extendQuestionSchema, grantSchema, type Grant } from './types.ts'

/** Options of {@link createExtensions}. */
interface ExtensionOptions {
  registry: Pick<Registry, 'self' | 'current' | 'peers' | 'confirmedAgeMs'>
  peers: Pick<Peers, 'ask' | 'handle'>
  rights: Pick<PrimaryLeases, 'close' | 'closed' | 'extend'>
  logger: Logger
}

/**
 * Asks for extensions when they are needed, and grants them to others.
 *
 * @param options - the registry, the links and the rights
 * @returns stops asking
 */
export function createExtensions ({ registry, peers, rights, logger }: ExtensionOptions): () => void {
  let extending = false

  peers.handle('extend', async (body): Promise<Grant> => {
    const { host, process } = extendQuestionSchema.parse(body)
    const known = registry.current.liveHosts.find(({ name }) => name === host)
    return { granted: known?.process === process, closed: rights.closed() }
  })
  const ask = async (peer: KnownHost): Promise<boolean> => {
    try {
      const question = { host: registry.self.name, process: registry.self.process }
      const { granted, closed } = grantSchema.parse(await peers.ask(peer, 'extend', question, GRANT_MS))
      closed.forEach(({ group, epoch }) => rights.close(group, epoch))
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
      if (grants * 2 > others.length + 1) {
        rights.extend(askedAt)
      }
    }))
    const enough = grants * 2 > others.length + 1
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
  return repeat(EXTEND_LOOK_MS, async () => {
    if (registry.confirmedAgeMs() > EXTEND_AFTER_MS && Number.isFinite(registry.confirmedAgeMs())) {
      await extend()
    } else {
      extending = false
    }
  })
}
