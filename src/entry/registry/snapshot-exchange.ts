/**
 * Passes the registry on between hosts by long poll, with its age, so that few hosts read it from the store. An answer
 * carries only the rows that have changed since the snapshot that the requester names.
 */
import type * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import type { Peers } from '../../peers/index.ts'
import { createSnapshot, type KnownHost, type RegistrySnapshot } from './snapshot.ts'
import { snapshotReplySchema, snapshotQuestionSchema, type SnapshotReply } from './types.ts'

/** Time a reader has to answer, in milliseconds; then the requester asks the next one. */
const READER_MS = 300
/**
 * Time for which a reader holds a question while nothing changes, in milliseconds: so all hosts learn of a change as
 * soon as their readers do. A silent reader is noticed after this and {@link READER_MS}, two of them within a lease.
 */
const HOLD_MS = 400
/** Time any other peer has to answer, in milliseconds. */
const PEER_TIMEOUT_MS = 600
/** Peers asked in one round. */
const PEERS_ASKED = 3

/** Options of {@link createSnapshotExchange}. */
interface SnapshotExchangeOptions {
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
  current: () => RegistrySnapshot
  /** Whether this host reads the registry from the store, and gets it. */
  isReading: () => boolean
  accept: (snapshot: RegistrySnapshot) => void
}

/** Fetches the registry as peers know it, and serves this host's snapshot. */
export interface SnapshotExchange {
  /** The snapshot, or whether this host reads, has changed: held questions are answered. */
  changed: () => void
  /**
   * Asks a host that may read for this one.
   *
   * @param reader - the host
   * @param mayHold - whether it may hold the question until it knows more
   * @returns whether it does read
   */
  askReader: (reader: KnownHost, mayHold: boolean) => Promise<boolean>
  /** Asks the host that has written a row; returns whether its answer was newer than the snapshot here. */
  askWriter: (peer: KnownHost) => Promise<boolean>
  /** Asks some of the peers, others in each round. */
  askSome: (peers: KnownHost[]) => Promise<void>
}

/**
 * Builds the snapshot that a peer has sent: bytes between failure domains are paid for, and a table of 71 hosts has
 * 14 KB, so only what has changed is passed on.
 *
 * @param before - what this host had when it asked
 * @param reply - the peer's answer
 * @param askedAt - when it was asked, on the steady clock
 * @returns the snapshot; undefined when it cannot be built from this
 */
export function mergeSnapshotReply (
  before: RegistrySnapshot, { version, rows, digest, ageMs, isChange = false }: SnapshotReply, askedAt: number
): RegistrySnapshot | undefined {
  if (rows === undefined) {
    return digest === before.digest ? { ...before, version, askedAt: askedAt - ageMs } : undefined
  }
  if (!isChange) {
    return createSnapshot(rows, version, askedAt - ageMs, before)
  }
  const byKey = new Map([...before.rows, ...rows].map((row) => [row.key, row]))
  const ordered = [...byKey.values()].sort((left, right) => left.key < right.key ? -1 : 1)
  const merged = createSnapshot(ordered, version, askedAt - ageMs, before)
  return merged.digest === digest ? merged : undefined
}

/**
 * Creates the exchange, and answers the questions of peers.
 *
 * @param options - the links, and what this host knows
 * @returns the exchange
 */
export function createSnapshotExchange (options: SnapshotExchangeOptions): SnapshotExchange {
  const { peers, logger, current, isReading, accept } = options
  let round = 0
  const waiters = createWaiters()

  peers.handle('registry-snapshot', async (body): Promise<SnapshotReply> => {
    const { digest: known, version: since, holdMs = 0 } = snapshotQuestionSchema.parse(body)
    const hasNewer = (): boolean => current().digest !== known && current().version >= (since ?? 0)
    await waiters.until(() => hasNewer() || !isReading() || undefined, Math.min(HOLD_MS, holdMs))
    const { version, rows, digest, askedAt } = current()
    if (since !== undefined && since > version) {
      return { version, digest, ageMs: performance.now() - askedAt, isReading: isReading() }
    }
    const isChange = since !== undefined && since >= 0 && since <= version
    return {
      version,
      digest,
      ...known !== digest && { isChange, rows: isChange ? rows.filter((row) => row.version > since) : rows },
      ageMs: version < 0 ? Number.MAX_SAFE_INTEGER : performance.now() - askedAt,
      isReading: isReading()
    }
  })
  const ask = async (peer: KnownHost, timeoutMs: number, holdMs = 0): Promise<boolean> => {
    // The answer is made after this moment, so counting its age from here never underestimates it.
    const askedAt = performance.now()
    const before = current()
    const askWith = async (question: z.infer<typeof snapshotQuestionSchema>): Promise<SnapshotReply> =>
      snapshotReplySchema.parse(await peers.requestOrDisconnect(peer, 'registry-snapshot', question, timeoutMs + holdMs))
    try {
      const reply = await askWith({ digest: before.digest, version: before.version, holdMs })
      if (reply.version < before.version) {
        return reply.isReading
      }
      const merged = mergeSnapshotReply(before, reply, askedAt)
      if (merged !== undefined) {
        accept(merged)
        return reply.isReading
      }
      // Rows were removed; a change does not name them.
      const { rows = [], version, ageMs } = await askWith({})
      accept(createSnapshot(rows, version, askedAt - ageMs, before))
      return reply.isReading
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return false
    }
  }
  return {
    changed: waiters.notify,
    askReader: async (reader, mayHold) => await ask(reader, READER_MS, mayHold ? HOLD_MS : 0),
    askWriter: async (peer) => {
      const before = current().version
      await ask(peer, READER_MS)
      return current().version > before
    },
    askSome: async (all) => {
      const asked = all.length <= PEERS_ASKED
        ? all
        : Array.from({ length: PEERS_ASKED }, (_, index) => all[(round * PEERS_ASKED + index) % all.length]!)
      round++
      await Promise.all(asked.map(async (peer) => await ask(peer, PEER_TIMEOUT_MS)))
    }
  }
}
