/**
 * The connections of a pool at work: takes one for a statement or for a transaction, measures latency, and gives it
 * back. Owns the set of connections, the count of those that transactions hold, and the concurrency limit.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import type { Client, UpstreamAccess } from '../../mysql/client.ts'
import { createClientSet } from './client-set.ts'
import { createConcurrencyLimit } from './concurrency-limit.ts'

/** Options of {@link createPoolConnections}. */
interface PoolConnectionsOptions {
  access: UpstreamAccess
  dialer: Dialer
  /** Connections this home may hold. */
  share: number
  /** Statements the upstream executes at a time; where the adaptive limit starts. */
  slots: number
  /** Called when share, held connections or concurrency have changed. */
  onChange: () => void
  /** Builds the error when no connection is left. */
  refuse: (reason: string) => RequestError
}

/** A connection held across several statements. */
export interface PinnedConnection {
  client: Client
  /**
   * Gives the connection back.
   *
   * @param reuse - false when its state is in doubt, so that it is closed
   */
  release: (reuse: boolean) => void
}

/** Connections at work. */
interface PoolConnections {
  readonly share: number
  readonly open: number
  readonly idle: number
  /** Connections that the upstream had no room for. */
  readonly refused: number
  /** Connections that transactions hold. */
  readonly pinned: number
  /** Statements that may run at a time. */
  readonly concurrency: number
  /** Mean latency of a statement, in milliseconds; 0 before one is measured. */
  readonly meanMs: number
  /** Whether the mean is out of date, as no statement has run for a while. */
  readonly isMeanOutOfDate: boolean
  /** Runs a statement's work on a connection; it must throw when the connection's state is in doubt. */
  use: <Result>(work: (client: Client) => Promise<Result>) => Promise<Result>
  /**
   * Takes a connection for a transaction.
   *
   * @param onHeld - receives the connection
   * @returns resolves once it has been given back
   */
  hold: (onHeld: (held: PinnedConnection) => void) => Promise<void>
  setShare: (share: number) => void
  /** Breaks all connections, so that work in progress ends now. */
  abort: () => void
  close: () => void
}

/**
 * Creates the connections of a pool.
 *
 * @param options - upstream, share, and what is called on changes
 * @returns the connections; they are opened when needed
 */
export function createPoolConnections (options: PoolConnectionsOptions): PoolConnections {
  const { access, dialer, onChange } = options
  let pinned = 0
  const clients = createClientSet({ access, dialer, share: options.share, onShareChange: onChange })
  const limit = createConcurrencyLimit({ initial: options.slots, maximum: () => Math.max(1, clients.share - pinned) })

  const acquire = async (): Promise<Client> => {
    const taken = clients.take()
    if (taken === undefined) {
      throw options.refuse('all connections of this home are in use')
    }
    return await taken
  }

  return {
    get share () { return clients.share },
    get open () { return clients.open },
    get idle () { return clients.idle },
    get refused () { return clients.refused },
    get pinned () { return pinned },
    get concurrency () { return limit.current },
    get meanMs () { return limit.meanMs },
    get isMeanOutOfDate () { return limit.isMeanOutOfDate },
    use: async (work) => {
      const client = await acquire()
      const startedAt = performance.now()
      let reuse = false
      try {
        const result = await work(client)
        reuse = true
        return result
      } catch (thrown) {
        reuse = thrown instanceof RequestError && thrown.entry === 'StatementFailed'
        throw thrown
      } finally {
        limit.record(performance.now() - startedAt)
        onChange()
        clients.giveBack(client, reuse)
      }
    },
    hold: async (onHeld) => {
      const client = await acquire()
      pinned++
      onChange()
      await new Promise<void>((resolve) => onHeld({
        client,
        release: (reuse) => {
          pinned--
          clients.giveBack(client, reuse)
          onChange()
          resolve()
        }
      }))
    },
    setShare: clients.setShare,
    abort: clients.abort,
    close: clients.close
  }
}
