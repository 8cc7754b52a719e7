/**
 * The connections of one home to one upstream, within its share (`connection-share.ts`). Owns the connections; a closed
 * or broken one leaves the set by itself.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { openClient, type Client, type UpstreamAccess } from '../../mysql/client.ts'
import { isTooManyConnections } from '../../mysql/connection-lost.ts'
import { createConnectionShare } from './connection-share.ts'

/** Time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000

/** Options of {@link createClientSet}. */
interface ClientSetOptions {
  access: UpstreamAccess
  dialer: Dialer
  /** Connections this home may hold. */
  share: number
  onShareChange: () => void
}

/** Connections to one upstream. */
interface ClientSet {
  /** Connections that may be held now. */
  readonly share: number
  readonly open: number
  readonly idle: number
  /** Connections that the upstream had no room for. */
  readonly refused: number
  /**
   * Takes an idle connection or opens one.
   *
   * @returns the connection; undefined when the share is used up
   */
  take: () => Promise<Client> | undefined
  /**
   * Gives a connection back.
   *
   * @param client - the connection
   * @param reuse - false when its state is in doubt, so that it is closed
   */
  giveBack: (client: Client, reuse: boolean) => void
  setShare: (share: number) => void
  /** Breaks all connections, so that work in progress ends now. */
  abort: () => void
  close: () => void
}

/**
 * Creates an empty set.
 *
 * @param options - upstream and share
 * @returns the set; connections are opened when needed
 */
export function createClientSet ({ access, dialer, share: declaredShare, onShareChange }: ClientSetOptions): ClientSet {
  const clients = new Set<Client>()
  const idle: Client[] = []
  const share = createConnectionShare(declaredShare, onShareChange)
  let opening = 0
  let closed = false
  /** Counts the times that all connections were broken: one that was being opened then is broken too. */
  let aborts = 0

  const forget = (client: Client): void => {
    clients.delete(client)
    const index = idle.indexOf(client)
    if (index >= 0) {
      idle.splice(index, 1)
    }
  }
  const open = async (): Promise<Client> => {
    opening++
    const abortsBefore = aborts
    try {
      const client = await openClient({ access, dialer, connectTimeoutMs: CONNECT_TIMEOUT_MS })
      if (aborts !== abortsBefore) {
        client.close()
        const reason = 'work there was broken off while it was opened'
        throw new RequestError('not-run', 'ConnectionLost', { upstream: access.name, reason })
      }
      clients.add(client)
      client.onClose(() => forget(client))
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
    aborts++
    const open = [...clients]
    open.forEach((client) => client.close())
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
    giveBack: (client, reuse) => {
      if (!reuse || closed || clients.size > share.current) {
        client.close()
        return
      }
      if (client.usable) {
        idle.push(client)
      }
    },
    setShare: share.declare,
    abort,
    close: () => {
      closed = true
      share.close()
      abort()
    }
  }
}
