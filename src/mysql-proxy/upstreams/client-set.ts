/**
 * Set of connections from one home to one upstream, limited by the home's share (`connection-share.ts`). A connection
 * that closes or fails is removed from the set.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { openClient, type Client, type UpstreamAccess } from '../../mysql/client.ts'
import { isTooManyConnections } from '../../mysql/connection-lost.ts'
import { createConnectionShare } from './connection-share.ts'

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000

/** Options of {@link createClientSet}. */
interface ClientSetOptions {
  access: UpstreamAccess
  dialer: Dialer
  /** Maximum number of connections of this home. */
  share: number
  onShareChange: () => void
}

/** Open connections to one upstream. */
interface ClientSet {
  /** Maximum number of connections at present. */
  readonly share: number
  readonly open: number
  readonly idle: number
  /** Connection attempts that the upstream rejected because its connection limit was reached. */
  readonly refused: number
  /**
   * Takes an idle connection or opens a new one.
   *
   * @returns the connection; undefined when the share is exhausted
   */
  take: () => Promise<Client> | undefined
  /**
   * Returns a connection to the set.
   *
   * @param client - the connection
   * @param reuse - whether the connection may be reused; otherwise it is closed
   */
  release: (client: Client, reuse: boolean) => void
  /**
   * Closes the idle connections if none of the set has been returned for reuse since a time: after a statement without
   * an answer the others may be silent as well.
   *
   * @param since - time on the monotonic clock, in milliseconds
   */
  closeIdleIfQuiet: (since: number) => void
  setShare: (share: number) => void
  /** Closes all connections, which fails the work in progress. */
  abort: () => void
  close: () => void
}

/**
 * Creates an empty set.
 *
 * @param options - the upstream and the share
 * @returns the set; connections are opened on demand
 */
export function createClientSet ({ access, dialer, share: declaredShare, onShareChange }: ClientSetOptions): ClientSet {
  const clients = new Set<Client>()
  const idle: Client[] = []
  const share = createConnectionShare(declaredShare, onShareChange)
  let opening = 0
  let closed = false
  /** Time at which a connection was last returned for reuse, on the monotonic clock. */
  let lastReturnedAt = -Infinity
  /** Number of calls of `abort`; a connection attempt that was in progress during one of them is discarded. */
  let abortCount = 0

  const remove = (client: Client): void => {
    clients.delete(client)
    const index = idle.indexOf(client)
    if (index >= 0) {
      idle.splice(index, 1)
    }
  }
  const open = async (): Promise<Client> => {
    opening++
    const abortCountBefore = abortCount
    try {
      const client = await openClient({ access, dialer, connectTimeoutMs: CONNECT_TIMEOUT_MS })
      if (abortCount !== abortCountBefore) {
        client.close()
        const reason = 'work there was broken off while it was opened'
        throw new RequestError('not-run', 'ConnectionLost', { upstream: access.name, reason })
      }
      clients.add(client)
      client.onClose(() => remove(client))
      return client
    } catch (thrown) {
      if (isTooManyConnections(thrown)) {
        share.shrink(clients.size)
      }
      throw thrown
    } finally {
      opening--
    }
  }
  const abort = (): void => {
    abortCount++
    closeAll(clients)
  }
  return {
    get share () { return share.current },
    get open () { return clients.size },
    get idle () { return idle.length },
    get refused () { return share.refused },
    take: () => {
      const client = idle.pop()
      if (client !== undefined) {
        return Promise.resolve(client)
      }
      return clients.size + opening >= Math.max(1, share.current) ? undefined : open()
    },
    release: (client, reuse) => {
      if (!reuse || closed || clients.size > share.current) {
        client.close()
        return
      }
      lastReturnedAt = performance.now()
      if (client.usable) {
        idle.push(client)
      }
    },
    closeIdleIfQuiet: (since) => {
      if (lastReturnedAt <= since) {
        closeAll(idle)
      }
    },
    setShare: share.setDeclared,
    abort,
    close: () => {
      closed = true
      share.close()
      abort()
    }
  }
}

/** Closes connections, which remove themselves from the collection. */
function closeAll (clients: Iterable<Client>): void {
  [...clients].forEach((client) => client.close())
}
