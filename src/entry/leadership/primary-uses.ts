/**
 * Tracks every use of a primary under a lease, by group and epoch, from its first command until its connection is
 * released or discarded. A stop of local work finds its uses here, so it depends on neither the directory nor the row.
 */
import type { Logger } from '../../core/logger/index.ts'
import { PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { PrimaryLeases } from './primary-leases.ts'
import type { PrimaryLease } from './types.ts'

/**
 * Time after the expiry of the leases for which answers still count, in milliseconds; after it every use is aborted.
 * Shorter than LEASE_MARGIN_MS, for which promoters wait longer.
 */
export const EXPIRY_GRACE_MS = 250

/** Use of a primary by one statement or transaction. */
export interface PrimaryUse {
  /** Whether a command may be sent now; ask in the same tick in which it is sent. */
  readonly maySend: boolean
  /**
   * Whether no other upstream can have been promoted before now: the use was not aborted, as every use is before a
   * closing is acknowledged, and the lease has not expired by more than {@link EXPIRY_GRACE_MS}.
   */
  readonly isCovered: boolean
  /** Counts the use as running until the command has finished. */
  whileRunning: <Result>(command: () => Promise<Result>) => Promise<Result>
  /** Ends the use. */
  end: () => void
}

/** A use to track. */
interface UseOptions {
  group: string
  /** Lease under which the commands are sent. */
  lease: PrimaryLease
  /** Closes the connection. */
  abort: () => void
}

/** A tracked use. */
interface TrackedUse extends UseOptions {
  running: number
}

/** Selects uses. */
export type Selection = (use: Pick<TrackedUse, 'group' | 'lease' | 'running'>) => boolean

/** Uses of primaries by this host. */
export interface PrimaryUses {
  /** Tracks a use until it ends or is aborted. */
  track: (options: UseOptions) => PrimaryUse
  count: (selection: Selection) => number
  /**
   * Aborts the selected uses.
   *
   * @param selection - the uses to abort
   * @param reason - reason for the log
   * @returns the number of aborted uses
   */
  abort: (selection: Selection, reason: string) => number
}

/**
 * Selects the uses of a group's primaries up to an epoch.
 *
 * @param group - the group
 * @param epoch - the newest epoch to select
 * @returns the selection
 */
export function usesUpTo (group: string, epoch: number): Selection {
  return (use) => use.group === group && use.lease.epoch <= epoch
}

/**
 * Creates the record of uses.
 *
 * @param options - the leases and the logger
 * @returns a record without uses
 */
export function createPrimaryUses (
  { primaryLeases, logger }: { primaryLeases: Pick<PrimaryLeases, 'leaseOf' | 'ageMs'>, logger: Logger }
): PrimaryUses {
  const tracked = new Set<TrackedUse>()
  const select = (selection: Selection): TrackedUse[] => [...tracked].filter(selection)

  return {
    track: (options) => {
      const { group, lease } = options
      const use: TrackedUse = { ...options, running: 0 }
      tracked.add(use)
      return {
        get maySend () { return tracked.has(use) && primaryLeases.leaseOf(group)?.epoch === lease.epoch },
        get isCovered () { return tracked.has(use) && primaryLeases.ageMs() <= PRIMARY_LEASE_MS + EXPIRY_GRACE_MS },
        whileRunning: async (command) => {
          use.running++
          try {
            return await command()
          } finally {
            use.running--
          }
        },
        end: () => { tracked.delete(use) }
      }
    },
    count: (selection) => select(selection).length,
    abort: (selection, reason) => {
      const selected = select(selection)
      for (const upstream of new Set(selected.map(({ lease }) => lease.upstream))) {
        const inUse = selected.filter(({ lease }) => lease.upstream === upstream).length
        logger.log('warn', 'leadership.aborted', { upstream, inUse, reason })
      }
      for (const use of selected) {
        tracked.delete(use)
        use.abort()
      }
      return selected.length
    }
  }
}
