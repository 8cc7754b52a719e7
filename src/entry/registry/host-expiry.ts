/**
 * Decides when a host that has gone silent is retired, so that a failover need not wait for it.
 *
 * - Inputs: how long the next host in the order of names has been silent (milliseconds), whether it refuses
 *   connections, and the longest time for which it may still hold leases (milliseconds).
 * - Rule: each host asks the next one each {@link ASK_MS}. After {@link SILENT_MS} without an answer its row is
 *   retired: its leases count as expired at once when it refuses connections, and after the longest lease otherwise.
 *   The row is removed once that time has passed on the store's clock.
 * - Why: one watcher for each host keeps the questions few. A host that is alive after all registers itself again as
 *   soon as it reads the table.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Peers } from '../../peers/index.ts'
import { isConnectionRefused } from '../../peers/refusal.ts'
import type { Registry } from './service.ts'
import type { KnownHost } from './snapshot.ts'
import { hostRowSchema, registryKeys, RETIRED_PROCESS, type HostRow } from './types.ts'

/** Time between two questions to the next host, in milliseconds. */
const ASK_MS = 1000
/** Time the next host has to answer, in milliseconds. */
const ANSWER_MS = 600
/** Silence after which a host is retired, in milliseconds: three questions, and longer than a restart takes. */
const SILENT_MS = 2500

/** Options of {@link watchNextHost}. */
interface HostExpiryOptions {
  registry: Pick<Registry, 'self' | 'current' | 'peers' | 'write' | 'storeNowAtLeastMs' | 'storeNowAtMostMs'>
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
  /** Time for which a silent host may still work at primaries, in milliseconds. */
  leaseMs: number
}

/**
 * Watches the next host until stopped.
 *
 * @param options - the registry and the links to peers
 * @returns stops watching
 */
export function watchNextHost (options: HostExpiryOptions): () => void {
  const { registry, peers, logger } = options
  let silent: { name: string, process: string, since: number } | undefined
  peers.handle('neighbour', async () => ({}))

  const nextHost = (): KnownHost | undefined => {
    const others = registry.peers().sort((left, right) => left.name < right.name ? -1 : 1)
    return others.find(({ name }) => name > registry.self.name) ?? others[0]
  }
  const retire = async (host: KnownHost, refused: boolean): Promise<void> => {
    const { name, version } = host
    const retiredUntilMs = refused ? registry.storeNowAtLeastMs() : registry.storeNowAtMostMs() + options.leaseMs
    const row: HostRow = { ...hostRowSchema.parse(host), process: RETIRED_PROCESS, retiredUntilMs }
    const key = registryKeys.host(name)
    const written = await registry.write({
      expected: [{ key, version }], put: [{ key, value: JSON.stringify(row) }]
    })
    logger.log('warn', 'registry.host-retired', { peer: name, process: host.process, refused, written })
  }
  const ask = async (): Promise<void> => {
    const host = nextHost()
    if (host === undefined) {
      return
    }
    const since = silent?.name === host.name && silent.process === host.process ? silent.since : performance.now()
    try {
      await peers.requestOrDisconnect(host, 'neighbour', {}, ANSWER_MS)
      silent = undefined
    } catch (thrown) {
      silent = { name: host.name, process: host.process, since }
      logger.log('debug', 'registry.peer-silent', { peer: host.name, reason: describeThrown(thrown) })
      if (performance.now() - since > SILENT_MS) {
        await retire(host, isConnectionRefused(thrown))
      }
    }
  }
  /** Removes the row of a retired host whose leases have expired; the first host in the order of names does it. */
  const removeExpired = async (): Promise<void> => {
    const [expired] = registry.current.hosts.filter(({ retiredUntilMs }) =>
      retiredUntilMs !== undefined && retiredUntilMs < registry.storeNowAtLeastMs())
    const first = registry.peers().every(({ name }) => name > registry.self.name)
    if (expired !== undefined && first) {
      const key = registryKeys.host(expired.name)
      const removed = await registry.write({ expected: [{ key, version: expired.version }], put: [], remove: [key] })
      logger.log('info', 'registry.host-removed', { peer: expired.name, removed })
    }
  }
  return repeat(ASK_MS, async () => {
    await ask()
    await removeExpired()
  }, (thrown) => logger.log('debug', 'registry.retire-failed', { reason: describeThrown(thrown) }))
}
