/** Connections of a pool that are in use, each by one statement or transaction. Owns which ones these are. */
import type { ConnectionLease, PooledConnection } from './types.ts'

/** Options of {@link createConnectionLeases}. */
interface ConnectionLeasesOptions {
  /** A lease ended, and its connection may serve others. */
  onRelease: (pooled: PooledConnection) => void
  /** A lease ended, and its connection was closed. */
  onDiscard: () => void
}

/** Connections in use. */
interface ConnectionLeases {
  readonly inUse: ReadonlySet<PooledConnection>
  /** Leases a connection; only the first end of a lease counts. */
  lease: (pooled: PooledConnection) => ConnectionLease
  /** Closes all connections in use; their leases end when their users notice. */
  abort: () => void
}

/**
 * Creates the leases of a pool.
 *
 * @param options - called when a lease ends
 * @returns none yet
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
