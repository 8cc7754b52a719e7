/** Stops the work of this host at a primary when its epoch is closed or the lease has expired. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import { PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { Registry } from '../registry/index.ts'
import type { PrimaryLeases } from './primary-leases.ts'

/** Options of {@link createLocalWorkStop}. */
interface LocalWorkStopOptions {
  registry: Pick<Registry, 'current' | 'confirmedAgeMs'>
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'of'>
  primaryLeases: Pick<PrimaryLeases, 'closeEpoch' | 'ageMs'>
  logger: Logger
}

/** Operations that stop the work of this host at primaries. */
export interface LocalWorkStop {
  /** Gives up the lease on an epoch's primary; statements in progress have {@link FINISH_TIMEOUT_MS} to finish. */
  closeEpoch: (group: string, epoch: number) => Promise<void>
  /** Aborts statements in progress at the primaries of groups if the leases have expired. */
  abortExpired: (groups: string[]) => void
}

/** Time between the expiry of the leases and the abort of statements in progress, in milliseconds. */
const EXPIRY_GRACE_MS = 250
/** Time for statements in progress to finish when an epoch is closed, in milliseconds. */
const FINISH_TIMEOUT_MS = 150
/** Interval at which connections in use are checked while statements finish, in milliseconds. */
const POLL_INTERVAL_MS = 10

/**
 * Creates the operations that stop local work.
 *
 * @param options - the leases and the connections
 * @returns the operations
 */
export function createLocalWorkStop (options: LocalWorkStopOptions): LocalWorkStop {
  const { registry, directory, pools, primaryLeases, logger } = options
  let expired = false

  const abortAtPrimary = (name: string, reason: string): void => {
    const primary = directory.get(name)
    const pool = primary === undefined ? undefined : pools.of(primary).pool
    if (pool !== undefined && pool.inUse > 0) {
      logger.log('warn', 'leadership.aborted', { upstream: name, inUse: pool.inUse, reason })
      pool.abortInUse()
    }
  }
  const recordExpiry = (ageMs: number): void => {
    const isExpired = ageMs > PRIMARY_LEASE_MS
    if (isExpired === expired || !Number.isFinite(ageMs)) {
      return
    }
    expired = isExpired
    logger.log(isExpired ? 'warn' : 'info', isExpired ? 'leadership.lease-expired' : 'leadership.lease-restored', {
      ageMs: Math.round(ageMs), confirmedAgeMs: Math.round(registry.confirmedAgeMs())
    })
  }
  return {
    closeEpoch: async (group, epoch) => {
      primaryLeases.closeEpoch(group, epoch)
      const { row } = registry.current.group(group)
      const primary = row === undefined ? undefined : directory.get(row.primary)
      const listed = primary !== undefined
      if (row === undefined || !listed || row.epoch > epoch) {
        logger.log('info', 'leadership.stopped', { group, epoch, upstream: row?.primary, listed })
        return
      }
      const { pool } = pools.of(primary)
      const startedAt = performance.now()
      const inUse = pool.inUse
      while (pools.of(primary).pool.inUse > 0 && performance.now() < startedAt + FINISH_TIMEOUT_MS) {
        await pause(POLL_INTERVAL_MS)
      }
      const waitedMs = Math.round(performance.now() - startedAt)
      logger.log('info', 'leadership.stopped', {
        group, epoch, upstream: row.primary, listed, inUse, aborted: pool.inUse, waitedMs
      })
      abortAtPrimary(row.primary, 'the epoch was closed')
    },
    abortExpired: (groups) => {
      const ageMs = primaryLeases.ageMs()
      recordExpiry(ageMs)
      if (ageMs <= PRIMARY_LEASE_MS + EXPIRY_GRACE_MS) {
        return
      }
      for (const group of groups) {
        const { row } = registry.current.group(group)
        if (row !== undefined) {
          abortAtPrimary(row.primary, 'the lease has expired')
        }
      }
    }
  }
}
