/** Ends this host's work at a primary: when an epoch is closed, and when the right has lapsed. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import { PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { Registry } from '../registry/index.ts'
import { CLOSING_MS, LAPSE_SLACK_MS } from './consts.ts'
import type { PrimaryLeases } from './primary-leases.ts'

/** Options of {@link createLocalWorkStop}. */
interface LocalWorkStopOptions {
  registry: Pick<Registry, 'current' | 'confirmedAgeMs'>
  directory: Pick<Directory, 'get'>
  pools: Pick<Pools, 'of'>
  rights: Pick<PrimaryLeases, 'close' | 'ageMs'>
  logger: Logger
}

/** Ends this host's work at primaries. */
export interface LocalWorkStop {
  /** Gives up the right to an epoch; what is in progress has a moment to end. */
  close: (group: string, epoch: number) => Promise<void>
  /** Breaks off what is in progress at the primaries of groups when the right has lapsed. */
  lookAtLapse: (groups: string[]) => void
}

/** Time between two looks whether the work in progress has ended, in milliseconds. */
const LOOK_MS = 10

/**
 * Creates the closing.
 *
 * @param options - the rights and the connections
 * @returns the closing
 */
export function createLocalWorkStop ({ registry, directory, pools, rights, logger }: LocalWorkStopOptions): LocalWorkStop {
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
    logger.log(isExpired ? 'warn' : 'info', isExpired ? 'leadership.lease-expired' : 'leadership.lease-regained', {
      ageMs: Math.round(ageMs), confirmedAgeMs: Math.round(registry.confirmedAgeMs())
    })
  }
  return {
    close: async (group, epoch) => {
      rights.close(group, epoch)
      const { row } = registry.current.group(group)
      const primary = row === undefined ? undefined : directory.get(row.primary)
      if (row === undefined || primary === undefined || row.epoch > epoch) {
        return
      }
      const until = performance.now() + CLOSING_MS
      while (pools.of(primary).pool.inUse > 0 && performance.now() < until) {
        await pause(LOOK_MS)
      }
      abortAtPrimary(row.primary, 'the epoch was closed')
    },
    lookAtLapse: (groups) => {
      const ageMs = rights.ageMs()
      recordExpiry(ageMs)
      if (ageMs <= PRIMARY_LEASE_MS + LAPSE_SLACK_MS) {
        return
      }
      for (const group of groups) {
        const { row } = registry.current.group(group)
        if (row !== undefined) {
          abortAtPrimary(row.primary, 'the right has lapsed')
        }
      }
    }
  }
}
