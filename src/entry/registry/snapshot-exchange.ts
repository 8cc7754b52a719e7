/**
 * Exchanges snapshots of the registry between hosts by long poll, so that few hosts read the store. Responses contain
 * only changed rows and the age of the snapshot: the table of 71 hosts has 14 KB, and traffic between failure domains
 * is charged for.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import type { Peers } from '../../peers/index.ts'
import { createSnapshot, type KnownHost, type RegistrySnapshot } from './snapshot.ts'
import type { TableConfirmations } from './table-confirmations.ts'
import { snapshotReply, snapshotRequest, type SnapshotReply, type SnapshotRequest } from './types.ts'

/** Time that a reader has to respond beyond the long poll, in milliseconds. */
const READER_TIMEOUT_MS = 300
/**
 * Time that a reader holds a request while nothing changes, in milliseconds. Short enough to notice two silent readers
 * within one lease.
 */
const LONG_POLL_MS = 400
/** Time that any other peer has to respond, in milliseconds. */
const PEER_TIMEOUT_MS = 600
const PEERS_PER_ROUND = 3

interface SnapshotExchangeOptions {
  peers: Pick<Peers, 'requestOrDisconnect' | 'handle'>
  logger: Logger
  current: () => RegistrySnapshot
  /** Whether this host reads the registry from the store successfully. */
  isReading: () => boolean
  accept: (snapshot: RegistrySnapshot) => void
  /** Copies of followed tables, whose versions travel with the snapshots. */
  tables: Pick<TableConfirmations, 'describe' | 'versions' | 'isNewerThan' | 'hear'>
}

/** Requests snapshots from peers, and serves this host's snapshot. */
export interface SnapshotExchange {
  /** Answers pending requests after a change of the snapshot, of a followed table or of `isReading`. */
  answerPending: () => void
  /**
   * Requests the snapshot of a reader.
   *
   * @param reader - the host
   * @param allowLongPoll - whether the reader may hold the request until its snapshot changes
   * @returns whether the host responded and reads the store
   */
  requestFromReader: (reader: KnownHost, allowLongPoll: boolean) => Promise<boolean>
  /** Requests the snapshot of a host that has written a row; returns whether it was newer than this host's. */
  requestFromWriter: (peer: KnownHost) => Promise<boolean>
  /** Requests the snapshots of some of the peers, in rotation. */
  requestFromSome: (peers: KnownHost[]) => Promise<void>
}

/**
 * Builds a snapshot from a peer's response, which may contain only changed rows.
 *
 * @param previous - this host's snapshot when it sent the request
 * @param reply - the response
 * @param askedAt - time of the request, on the monotonic clock
 * @returns the snapshot; undefined if the digests differ after the merge
 */
export function mergeSnapshotReply (
  previous: RegistrySnapshot, { version, rows, digest, ageMs, isChange = false }: SnapshotReply, askedAt: number
): RegistrySnapshot | undefined {
  if (rows === undefined) {
    return digest === previous.digest ? { ...previous, version, askedAt: askedAt - ageMs } : undefined
  }
  if (!isChange) {
    return createSnapshot(rows, version, askedAt - ageMs, previous)
  }
  const byKey = new Map([...previous.rows, ...rows].map((row) => [row.key, row]))
  const ordered = [...byKey.values()].sort((left, right) => left.key < right.key ? -1 : 1)
  const merged = createSnapshot(ordered, version, askedAt - ageMs, previous)
  return merged.digest === digest ? merged : undefined
}

/**
 * Creates the exchange, and handles the requests of peers.
 *
 * @param options - the links, and access to this host's snapshot
 * @returns the exchange
 */
export function createSnapshotExchange (options: SnapshotExchangeOptions): SnapshotExchange {
  const { peers, logger, current, isReading, accept, tables } = options
  let round = 0
  const waiters = createWaiters()

  peers.handle('registry-snapshot', async (body): Promise<SnapshotReply> => {
    const request = snapshotRequest.read(body)
    const { digest: knownDigest, version: sinceVersion, holdMs = 0, tables: known = {} } = request
    const hasNewer = (): boolean => tables.isNewerThan(known) ||
      (current().digest !== knownDigest && current().version >= (sinceVersion ?? 0))
    await waiters.until(() => hasNewer() || !isReading() || undefined, Math.min(LONG_POLL_MS, holdMs))
    const { version, rows, digest, askedAt } = current()
    if (sinceVersion !== undefined && sinceVersion > version) {
      return {
        version, digest, ageMs: performance.now() - askedAt, isReading: isReading(), tables: tables.describe()
      }
    }
    const isChange = sinceVersion !== undefined && sinceVersion >= 0 && sinceVersion <= version
    return {
      version,
      digest,
      ...knownDigest !== digest && {
        isChange, rows: isChange ? rows.filter((row) => row.version > sinceVersion) : rows
      },
      ageMs: version < 0 ? Number.MAX_SAFE_INTEGER : performance.now() - askedAt,
      isReading: isReading(),
      tables: tables.describe()
    }
  })
  const requestSnapshot = async (peer: KnownHost, timeoutMs: number, holdMs = 0): Promise<boolean> => {
    // Counts the age from the time of the request, which never underestimates it.
    const askedAt = performance.now()
    const previous = current()
    const sendRequest = async (request: SnapshotRequest): Promise<SnapshotReply> =>
      snapshotReply.read(await peers.requestOrDisconnect(peer, 'registry-snapshot', request, timeoutMs + holdMs))
    try {
      const reply = await sendRequest({
        digest: previous.digest, version: previous.version, holdMs, tables: tables.versions()
      })
      tables.hear(reply.tables ?? {}, askedAt, peer.name)
      if (reply.version < previous.version) {
        return reply.isReading
      }
      const merged = mergeSnapshotReply(previous, reply, askedAt)
      if (merged !== undefined) {
        accept(merged)
        return reply.isReading
      }
      // Rows were removed, which a partial response does not show; requests all rows.
      const { rows = [], version, ageMs } = await sendRequest({})
      accept(createSnapshot(rows, version, askedAt - ageMs, previous))
      return reply.isReading
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
      return false
    }
  }
  return {
    answerPending: waiters.notify,
    requestFromReader: async (reader, allowLongPoll) =>
      await requestSnapshot(reader, READER_TIMEOUT_MS, allowLongPoll ? LONG_POLL_MS : 0),
    requestFromWriter: async (peer) => {
      const previous = current().version
      await requestSnapshot(peer, READER_TIMEOUT_MS)
      return current().version > previous
    },
    requestFromSome: async (hosts) => {
      const selected = hosts.length <= PEERS_PER_ROUND
        ? hosts
        : Array.from(
          { length: PEERS_PER_ROUND }, (_, index) => hosts[(round * PEERS_PER_ROUND + index) % hosts.length]!
        )
      round++
      await Promise.all(selected.map(async (peer) => await requestSnapshot(peer, PEER_TIMEOUT_MS)))
    }
  }
}
