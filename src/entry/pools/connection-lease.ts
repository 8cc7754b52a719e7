/** Tracks which connections of a pool are leased to a statement or transaction, and ends each lease only once. */
import type { ConnectionLease, PooledConnection } from './types.ts'

/** Options of {@link createConnectionLeases}. */
interface ConnectionLeasesOptions {
  /** Called when a lease ends and its connection can be reused. */
  onRelease: (pooled: PooledConnection) => void
  /** Called when a lease ends and its connection was closed. */
  onDiscard: () => void
}

/** Leased connections of a pool. */
interface ConnectionLeases {
  readonly inUse: ReadonlySet<PooledConnection>
  /** Leases a connection. Only the first call of `release` or `discard` has an effect. */
  lease: (pooled: PooledConnection) => ConnectionLease
  /** Closes all leased connections. The leases remain until their holders release or discard them. */
  abort: () => void
}

/**
 * Creates the lease tracker of a pool.
 *
 * @param options - callbacks for the end of a lease
 * @returns a tracker without leases
 */
export function createConnectionLeases ({ onRelease, onDiscard }: ConnectionLeasesOptions): ConnectionLeases {
  const inUse = new Set<PooledConnection>()

  const lease = (pooled: PooledConnection): ConnectionLease => {
    inUse.add(pooled)
    let done = false
    const finish = (): boolean => {
      const first = !done
      done = true
      inUse.delete(pooled)
      return first
    }
    return Object.assign(Object.create(pooled) as ConnectionLease, {
      release: () => {
        if (finish()) {
          onRelease(pooled)
        }
      },
      discard: () => {
        if (finish()) {
          pooled.connection.close()
          onDiscard()
        }
      }
    })
  }
  return {
    inUse,
    lease,
    abort: () => {
      const all = [...inUse]
      all.forEach(({ connection }) => connection.close())
    }
  }
}
