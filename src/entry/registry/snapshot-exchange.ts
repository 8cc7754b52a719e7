/** Passes the registry on between hosts, with its age, so that few hosts read it from the store. */
import type * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import type { Peers } from '../../peers/index.ts'
import { createSnapshot, type KnownHost, type RegistrySnapshot } from './snapshot.ts'
import { snapshotReplySchema, snapshotQuestionSchema, type SnapshotReply } from './types.ts'

/** Time a reader has to answer, in milliseconds; who gets no answer asks the next one. */
const READER_MS = 300
/**
 * Time for which a reader holds a question while nothing changes, in milliseconds: so all hosts learn of a change as
 * soon as their readers do. A silent reader is noticed after this and {@link READER_MS}, two of them within a right.
 */
const HOLD_MS = 400
/** Time any other peer has to answer, in milliseconds. */
const PEER_TIMEOUT_MS = 600
/** Peers asked in one round. */
const PEERS_ASKED = 3

/** Options of {@link createSnapshotExchange}. */
interface SnapshotExchangeOptions {
  peers: Pick<Peers, 'ask' | 'handle'>
  logger: Logger
  current: () => RegistrySnapshot
  /** Whether this host reads the registry from the store, and gets it. */
  isReading: () => boolean
  takeOver: (snapshot: RegistrySnapshot) => void
}

/** Brings the registry as peers know it. */
export interface SnapshotExchange {
  /** Takes note that this host has learnt something new: held questions are answered. */
  changed: () => void
  /**
   * Asks a host that may read for this one.
   *
   * @param reader - the host
   * @param mayHold - whether it may hold the question until it knows more
   * @returns whether it does read
   */
  askReader: (reader: KnownHost, mayHold: boolean) => Promise<boolean>
  /** Asks the host that has told of a change; returns whether that brought what is new. */
  askTeller: (peer: KnownHost) => Promise<boolean>
  /** Asks some of the peers, others each time. */
  askSome: (peers: KnownHost[]) => Promise<void>
}

/**
 * Builds the snapshot that a peer has told of: bytes between failure domains are paid for, and a table of 71 hosts has
 * 14 KB, so only what has changed is passed on.
 *
 * @param before - what this host had when it asked
 * @param reply - what the peer has told
 * @param askedAt - when it was asked, on the steady clock
 * @returns the snapshot; undefined when it cannot be built of this
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
 * Creates the relay, and answers the questions of peers.
 *
 * @param options - the links, and what this host knows
 * @returns the relay
 */
export function createSnapshotExchange ({ peers, logger, current, isReading, takeOver }: SnapshotExchangeOptions): SnapshotExchange {
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
    // The answer is made after this moment, so counting its age from here takes nothing for younger than it is.
    const askedAt = performance.now()
    const before = current()
    const askWith = async (question: z.infer<typeof snapshotQuestionSchema>): Promise<SnapshotReply> =>
      snapshotReplySchema.parse(await peers.ask(peer, 'registry-snapshot', question, timeoutMs + holdMs))
    try {
      const reply = await askWith({ digest: before.digest, version: before.version, holdMs })
      if (reply.version < before.version) {
        return reply.isReading
      }
      const merged = mergeSnapshotReply(before, reply, askedAt)
      if (merged !== undefined) {
        takeOver(merged)
        return reply.isReading
      }
      // Rows were removed: what has changed does not tell which.
      const { rows = [], version, ageMs } = await askWith({})
      takeOver(createSnapshot(rows, version, askedAt - ageMs, before))
      return reply.isReading
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return false
    }
  }
  return {
    changed: waiters.notify,
    askReader: async (reader, mayHold) => await ask(reader, READER_MS, mayHold ? HOLD_MS : 0),
    askTeller: async (peer) => {
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
