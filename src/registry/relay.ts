/** Passes the registry on between hosts, with its age, so that few hosts read it from the store. */
import { describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import type { Peers } from '../peers/index.ts'
import { createSnapshot, type KnownHost, type RegistrySnapshot } from './snapshot.ts'
import { relayedSnapshotSchema, snapshotQuestionSchema, type RelayedSnapshot } from './types.ts'

/** Time a reader has to answer, in milliseconds; who gets no answer reads the store itself. */
const READER_MS = 300
/** Time any other peer has to answer, in milliseconds. */
const PEER_TIMEOUT_MS = 600
/** Peers asked in one round. */
const PEERS_ASKED = 3

/** Options of {@link createRelay}. */
export interface RelayOptions {
  peers: Pick<Peers, 'ask' | 'handle'>
  logger: Logger
  current: () => RegistrySnapshot
  takeOver: (snapshot: RegistrySnapshot) => void
}

/** Brings the registry as peers know it. */
export interface Relay {
  /** Asks the host that reads for this one. */
  askReader: (reader: KnownHost) => Promise<void>
  /** Asks some of the peers, others each time. */
  askSome: (peers: KnownHost[]) => Promise<void>
}

/**
 * Creates the relay, and answers the questions of peers.
 *
 * @param options - the links, and what this host knows
 * @returns the relay
 */
export function createRelay ({ peers, logger, current, takeOver }: RelayOptions): Relay {
  let round = 0

  peers.handle('registry-snapshot', async (body): Promise<RelayedSnapshot> => {
    const { digest: known } = snapshotQuestionSchema.parse(body)
    const { version, rows, digest, askedAt } = current()
    return {
      version,
      digest,
      rows: known === digest ? undefined : rows,
      ageMs: version < 0 ? Number.MAX_SAFE_INTEGER : performance.now() - askedAt
    }
  })
  const ask = async (peer: KnownHost, timeoutMs: number): Promise<void> => {
    // The answer is made after this moment, so counting its age from here takes nothing for younger than it is.
    const askedAt = performance.now()
    const before = current()
    try {
      const reply = await peers.ask(peer, 'registry-snapshot', { digest: before.digest }, timeoutMs)
      const { version, rows, digest, ageMs } = relayedSnapshotSchema.parse(reply)
      if (rows !== undefined) {
        takeOver(createSnapshot(rows, version, askedAt - ageMs))
      } else if (digest === before.digest) {
        takeOver({ ...before, version, askedAt: askedAt - ageMs })
      }
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
    }
  }
  return {
    askReader: async (reader) => await ask(reader, READER_MS),
    askSome: async (all) => {
      const asked = all.length <= PEERS_ASKED
        ? all
        : Array.from({ length: PEERS_ASKED }, (_, index) => all[(round * PEERS_ASKED + index) % all.length]!)
      round++
      await Promise.all(asked.map(async (peer) => await ask(peer, PEER_TIMEOUT_MS)))
    }
  }
}
