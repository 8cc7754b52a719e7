/**
 * Retires hosts that stop answering, so that failovers need not wait for them. Each host probes only the next one in
 * the order of names. The row of a retired host is removed once its longest lease has expired. A host that is still
 * alive registers again.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Peers } from '../../peers/index.ts'
import type { Registry } from './service.ts'
import type { KnownHost } from './snapshot.ts'
import { hostRowSchema, registryKeys, RETIRED_PROCESS, type HostRow } from './types.ts'

/** Interval between probes of the next host, in milliseconds. */
const PROBE_INTERVAL_MS = 1000
/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 600
/** Time without an answer after which a host is retired, in milliseconds; longer than a restart takes. */
const RETIRE_AFTER_MS = 2500

interface HostExpiryOptions {
  registry: Pick<
    Registry, 'self' | 'current' | 'peers' | 'haveLeasesExpired' | 'write' | 'storeNowAtMostMs' | 'requestPeerRefresh'
  >
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
  /** Maximum time that a silent host may still work at primaries, in milliseconds. */
  leaseMs: number
}

/**
 * Probes the next host until stopped.
 *
 * @param options - the registry and the links to peers
 * @returns a function that stops the probes
 */
export function watchNextHost (options: HostExpiryOptions): () => void {
  const { registry, peers, logger } = options
  let unanswered: { name: string, process: string, since: number } | undefined
  peers.handle('neighbour', async () => ({}))

  const nextHost = (): KnownHost | undefined => {
    const others = registry.peers().sort((left, right) => left.name < right.name ? -1 : 1)
    return others.find(({ name }) => name > registry.self.name) ?? others[0]
  }
  const retire = async (host: KnownHost): Promise<void> => {
    const { name, version } = host
    const retiredUntilMs = registry.storeNowAtMostMs() + options.leaseMs
    const row: HostRow = { ...hostRowSchema.parse(host), process: RETIRED_PROCESS, retiredUntilMs }
    const key = registryKeys.host(name)
    const written = await registry.write({
      expected: [{ key, version }], put: [{ key, value: JSON.stringify(row) }]
    })
    logger.log('warn', 'registry.host-retired', { peer: name, process: host.process, written })
    // Every host counts the longest lease from when it sees the retirement.
    registry.requestPeerRefresh()
  }
  const probe = async (): Promise<void> => {
    const host = nextHost()
    if (host === undefined) {
      return
    }
    const since = unanswered?.name === host.name && unanswered.process === host.process
      ? unanswered.since
      : performance.now()
    try {
      await peers.requestOrDisconnect(host, 'neighbour', {}, PROBE_TIMEOUT_MS)
      unanswered = undefined
    } catch (thrown) {
      unanswered = { name: host.name, process: host.process, since }
      logger.log('debug', 'registry.peer-silent', { peer: host.name, reason: describeThrown(thrown) })
      if (performance.now() - since > RETIRE_AFTER_MS) {
        await retire(host)
      }
    }
  }
  /** Removes the row of a retired host whose leases have expired; only the first host in the order of names does so. */
  const removeExpired = async (): Promise<void> => {
    const expired = registry.current.hosts.find(registry.haveLeasesExpired)
    const first = registry.peers().every(({ name }) => name > registry.self.name)
    if (expired !== undefined && first) {
      const key = registryKeys.host(expired.name)
      const removed = await registry.write({ expected: [{ key, version: expired.version }], put: [], remove: [key] })
      logger.log('info', 'registry.host-removed', { peer: expired.name, removed })
    }
  }
  return repeat(PROBE_INTERVAL_MS, async () => {
    await probe()
    await removeExpired()
  }, (thrown) => logger.log('debug', 'registry.retire-failed', { reason: describeThrown(thrown) }))
}
