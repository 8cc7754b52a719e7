/**
 * Each host watches the next one in the order of names, and retires the row of one that stays silent. A retired host
 * has no right to primaries once the time in its row has passed, so that a failover need not wait for it. A host that
 * is alive after all registers itself again as soon as it reads the table.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import type { Peers } from '../../peers/index.ts'
import { isRefusal } from '../../peers/refusal.ts'
import type { Registry } from './service.ts'
import type { KnownHost } from './snapshot.ts'
import { hostRowSchema, registryKeys, RETIRED_PROCESS, type HostRow } from './types.ts'

/** Time between two questions to the neighbour, in milliseconds. */
const ASK_MS = 1000
/** Time the neighbour has to answer, in milliseconds. */
const ANSWER_MS = 600
/** Silence after which a host is retired, in milliseconds: three questions, and longer than a restart takes. */
const SILENT_MS = 2500

/** Options of {@link watchNextHost}. */
interface HostExpiryOptions {
  registry: Pick<Registry, 'self' | 'current' | 'peers' | 'write' | 'storeNowAtLeastMs' | 'storeNowAtMostMs'>
  peers: Pick<Peers, 'ask' | 'handle'>
  logger: Logger
  /** Time for which a host that is not heard may still work at primaries, in milliseconds. */
  rightMs: number
}

/**
 * Watches the nextHost until closed.
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
    const retiredUntilMs = refused ? registry.storeNowAtLeastMs() : registry.storeNowAtMostMs() + options.rightMs
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
      await peers.ask(host, 'neighbour', {}, ANSWER_MS)
      silent = undefined
    } catch (thrown) {
      silent = { name: host.name, process: host.process, since }
      logger.log('debug', 'registry.peer-silent', { peer: host.name, reason: describeThrown(thrown) })
      if (performance.now() - since > SILENT_MS) {
        await retire(host, isRefusal(thrown))
      }
    }
  }
  /** Rows of retired hosts are of no use once their time has passed. */
  const clean = async (): Promise<void> => {
    const [lapsed] = registry.current.hosts.filter(({ retiredUntilMs }) =>
      retiredUntilMs !== undefined && retiredUntilMs < registry.storeNowAtLeastMs())
    const first = registry.peers().every(({ name }) => name > registry.self.name)
    if (lapsed !== undefined && first) {
      const key = registryKeys.host(lapsed.name)
      const removed = await registry.write({ expected: [{ key, version: lapsed.version }], put: [], remove: [key] })
      logger.log('info', 'registry.host-removed', { peer: lapsed.name, removed })
    }
  }
  return repeat(ASK_MS, async () => {
    await ask()
    await clean()
  }, (thrown) => logger.log('debug', 'registry.retire-failed', { reason: describeThrown(thrown) }))
}
