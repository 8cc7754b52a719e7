/** Tracks which connections of a pool are leased to a statement or transaction, and ends each lease only once. */
import type { ConnectionLease, PooledConnection } from './types.ts'

/** Options of {@link createConnectionLeases}. */
interface ConnectionLeasesOptions {
  /** Called when a lease ends and its connection can be reused. */
  onRelease: (pooled: PooledConnection) => void
  /** Called when a lease ends and its connection was closed. */
  onDiscard: () => void
  /** Called when a statement starts in a transaction that had none in progress. */
  onTransactionResumed: () => void
}

/** Leased connections of a pool. */
interface ConnectionLeases {
  readonly inUse: ReadonlySet<PooledConnection>
  /** Leases a connection. Only the first call of `release` or `discard` has an effect. */
  lease: (pooled: PooledConnection) => ConnectionLease
}

/**
 * Creates the lease tracker of a pool.
 *
 * @param options - callbacks for the end of a lease
 * @returns a tracker without leases
 */
export function createConnectionLeases (
  { onRelease, onDiscard, onTransactionResumed }: ConnectionLeasesOptions
): ConnectionLeases {
  const inUse = new Set<PooledConnection>()

  const lease = (pooled: PooledConnection): ConnectionLease => {
    inUse.add(pooled)
    const endListeners: Array<() => void> = []
    let done = false
    const finish = (): boolean => {
      if (done) {
        return false
      }
      done = true
      pooled.isIdleTransaction = false
      inUse.delete(pooled)
      endListeners.splice(0).forEach((listener) => listener())
      return true
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
      },
      onEnd: (listener: () => void) => { endListeners.push(listener) },
      setIdleTransaction: (isIdle: boolean) => {
        // The connection may serve another lease once this one has ended.
        const resumes = !done && pooled.isIdleTransaction && !isIdle
        pooled.isIdleTransaction = done ? pooled.isIdleTransaction : isIdle
        if (resumes) {
          onTransactionResumed()
        }
      }
    })
  }
  return { inUse, lease }
}
