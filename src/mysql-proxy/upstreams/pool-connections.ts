/**
 * Connections of a pool in use: acquires a connection for a statement or a transaction, releases it afterwards, and
 * feeds the latency of statements to the adaptive concurrency limit.
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
  /** Maximum number of connections of this home. */
  share: number
  /** Initial value of the adaptive concurrency limit. */
  initialConcurrency: number
  /** Called after the share, the pinned connections or the concurrency limit may have changed. */
  onChange: () => void
  /** Creates the error thrown when no connection is available. */
  refuse: (reason: string) => RequestError
}

/** Connection reserved for a transaction. */
export interface PinnedConnection {
  client: Client
  /**
   * Returns the connection to the pool.
   *
   * @param reuse - whether the connection may be reused; otherwise it is closed
   */
  release: (reuse: boolean) => void
}

/** Connections of a pool. */
interface PoolConnections {
  /** Maximum number of connections at present. */
  readonly share: number
  readonly open: number
  readonly idle: number
  /** Connection attempts that the upstream rejected because its connection limit was reached. */
  readonly refused: number
  /** Connections reserved for transactions. */
  readonly pinned: number
  /** Statements that may run concurrently. */
  readonly concurrency: number
  /** Mean latency of a statement, in milliseconds; 0 until the first statement has completed. */
  readonly meanMs: number
  /** Whether no statement has completed recently enough for the mean to be valid. */
  readonly isMeanStale: boolean
  /** Runs the work of a statement on a connection; the work must throw when the connection's state is unknown. */
  run: <Result>(work: (client: Client) => Promise<Result>) => Promise<Result>
  /**
   * Reserves a connection for a transaction.
   *
   * @param onPinned - receives the connection
   * @returns a promise that resolves once the connection is released
   */
  pin: (onPinned: (connection: PinnedConnection) => void) => Promise<void>
  setShare: (share: number) => void
  /** Closes all connections, which fails the work in progress. */
  abort: () => void
  close: () => void
}

/**
 * Creates the connections of a pool.
 *
 * @param options - the upstream, limits and callbacks
 * @returns the connections; they are opened on demand
 */
export function createPoolConnections (options: PoolConnectionsOptions): PoolConnections {
  const { access, dialer, onChange } = options
  let pinned = 0
  const clients = createClientSet({ access, dialer, share: options.share, onShareChange: onChange })
  const limit = createConcurrencyLimit({
    initial: options.initialConcurrency, maximum: () => Math.max(1, clients.share - pinned)
  })

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
    get isMeanStale () { return limit.isMeanStale },
    run: async (work) => {
      const client = await acquire()
      const startedAt = performance.now()
      let reuse = false
      try {
        const result = await work(client)
        reuse = true
        return result
      } catch (thrown) {
        reuse = thrown instanceof RequestError && thrown.entry === 'StatementFailed'
        if (thrown instanceof RequestError && thrown.entry === 'DeadlineExceeded') {
          clients.closeIdleIfQuiet(startedAt)
        }
        throw thrown
      } finally {
        limit.record(performance.now() - startedAt)
        onChange()
        clients.release(client, reuse)
      }
    },
    pin: async (onPinned) => {
      const client = await acquire()
      pinned++
      onChange()
      await new Promise<void>((resolve) => onPinned({
        client,
        release: (reuse) => {
          pinned--
          clients.release(client, reuse)
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
