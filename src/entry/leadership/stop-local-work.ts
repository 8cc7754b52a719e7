/** Stops the work of this host at a primary when its epoch is closed or passed, or when the lease has expired. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import { PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { Registry } from '../registry/index.ts'
import type { PrimaryLeases } from './primary-leases.ts'
import { EXPIRY_GRACE_MS, usesUpTo, type PrimaryUses, type Selection } from './primary-uses.ts'

/** Options of {@link createLocalWorkStop}. */
interface LocalWorkStopOptions {
  registry: Pick<Registry, 'current' | 'confirmedAgeMs'>
  directory: Pick<Directory, 'get'>
  primaryLeases: Pick<PrimaryLeases, 'closeEpoch' | 'giveUp' | 'ageMs'>
  primaryUses: Pick<PrimaryUses, 'count' | 'abort'>
  logger: Logger
}

/** Operations that stop the work of this host at primaries. */
export interface LocalWorkStop {
  /**
   * Gives up the lease on an epoch's primary. Statements in progress in this epoch and earlier ones have
   * {@link FINISH_TIMEOUT_MS} to finish; then every use is aborted. Nothing is in progress there afterwards.
   */
  closeEpoch: (group: string, epoch: number) => Promise<void>
  /**
   * Gives up all leases for good, since promoters take a host without a row as stopped. Statements in progress have
   * {@link FINISH_TIMEOUT_MS} to finish; then every use is aborted.
   */
  stop: () => Promise<void>
  /** Aborts all uses of primaries if the leases have expired. */
  abortExpired: () => void
  /**
   * Aborts the uses of primaries in epochs before those of their groups' rows, and closes epochs whose rows are closed.
   * A confirmation by such a row must not let a statement in progress go on.
   */
  abortPassed: () => void
}

/** Time for statements in progress to finish when an epoch is closed, in milliseconds. */
const FINISH_TIMEOUT_MS = 150
/** Interval at which statements in progress are checked while they finish, in milliseconds. */
const POLL_INTERVAL_MS = 10

/**
 * Creates the operations that stop local work.
 *
 * @param options - the leases and the uses of primaries
 * @returns the operations
 */
export function createLocalWorkStop (options: LocalWorkStopOptions): LocalWorkStop {
  const { registry, directory, primaryLeases, primaryUses, logger } = options
  let expired = false

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
  /** Waits for the selected statements in progress, aborts every selected use and returns how many were aborted. */
  const finish = async (selection: Selection, reason: string): Promise<number> => {
    const until = performance.now() + FINISH_TIMEOUT_MS
    const isRunning = (): boolean => primaryUses.count((use) => use.running > 0 && selection(use)) > 0
    while (isRunning() && performance.now() < until) {
      await pause(POLL_INTERVAL_MS)
    }
    return primaryUses.abort(selection, reason)
  }
  const closeEpoch = async (group: string, epoch: number): Promise<void> => {
    primaryLeases.closeEpoch(group, epoch)
    const ofEpoch = usesUpTo(group, epoch)
    const startedAt = performance.now()
    const inUse = primaryUses.count(ofEpoch)
    const aborted = await finish(ofEpoch, 'the epoch was closed')
    const { row } = registry.current.group(group)
    const upstream = row?.epoch === epoch ? row.primary : undefined
    logger.log('info', 'leadership.stopped', {
      group,
      epoch,
      upstream,
      listed: upstream !== undefined && directory.get(upstream) !== undefined,
      inUse,
      aborted,
      waitedMs: Math.round(performance.now() - startedAt)
    })
  }
  const closing = new Set<string>()
  /** Closes an epoch whose row is closed, if something is in use there. */
  const closeUsed = (group: string, epoch: number): void => {
    const key = `${group} ${epoch}`
    if (!closing.has(key) && primaryUses.count(usesUpTo(group, epoch)) > 0) {
      closing.add(key)
      void closeEpoch(group, epoch).finally(() => closing.delete(key))
    }
  }
  return {
    closeEpoch,
    stop: async () => {
      primaryLeases.giveUp()
      await finish(() => true, 'this host is stopping')
    },
    abortExpired: () => {
      const ageMs = primaryLeases.ageMs()
      recordExpiry(ageMs)
      if (ageMs > PRIMARY_LEASE_MS + EXPIRY_GRACE_MS) {
        primaryUses.abort(() => true, 'the lease has expired')
      }
    },
    abortPassed: () => {
      primaryUses.abort(
        ({ group, lease }) => (registry.current.group(group).row?.epoch ?? 0) > lease.epoch, 'a newer epoch is known')
      registry.current.closedGroups.forEach(({ group, epoch }) => closeUsed(group, epoch))
    }
  }
}
