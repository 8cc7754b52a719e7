/**
 * Decides when the statements of an executor may be sent. Reads at a known position need no lease on the primary, since
 * the upstream checks the position; everything else does, and is tracked as a use of the primary until it ends.
 */
import type { KnownUpstream } from '../directory/index.ts'
import type { PrimaryLease } from '../leadership/index.ts'
import type { ConnectionLease } from '../pools/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { EntryContext } from './types.ts'

/** A leased connection, and the lease on the primary under which statements are sent on it. */
interface RightsOptions {
  target: KnownUpstream
  lease: ConnectionLease
  /** Position that the upstream's log must have reached; undefined if the statements require the primary. */
  after?: LogPosition
  /** Lease of this host on the primary; undefined at a replica. */
  primaryLease?: PrimaryLease
}

/** Rights of one executor at its upstream. */
export interface PrimaryRights {
  /**
   * Whether a command may be sent now; ask in the same tick in which it is sent.
   *
   * @param isRead - whether it only reads
   */
  maySend: (isRead: boolean) => boolean
  /** Epoch for which this host holds the lease on the upstream now; undefined without a lease. */
  readonly epoch: number | undefined
  /** Whether the success of a write that is reported now came while no other upstream could be the primary. */
  readonly coversWrite: boolean
  /** Marks the use of the primary as running until the command has finished. */
  whileRunning: <Result>(command: () => Promise<Result>) => Promise<Result>
}

/**
 * Reports whether a lease on a primary is still valid.
 *
 * @param context - services of the entry process
 * @param group - the group
 * @param primaryLease - the lease to check
 * @returns true if this host still holds a lease of the same epoch
 */
export function isLeaseValid (
  { leadership }: Pick<EntryContext, 'leadership'>, group: string, primaryLease: PrimaryLease
): boolean {
  return leadership.leaseOf(group)?.epoch === primaryLease.epoch
}

/**
 * Creates the rights of an executor.
 *
 * @param context - services of the entry process
 * @param options - the connection and the lease
 * @returns the rights; they end with the lease of the connection
 */
export function createPrimaryRights (
  { leadership }: Pick<EntryContext, 'leadership'>, { target: { group }, lease, after, primaryLease }: RightsOptions
): PrimaryRights {
  const readsAnywhere = after !== undefined
  const heldEpoch = (): number | undefined =>
    primaryLease !== undefined && isLeaseValid({ leadership }, group, primaryLease) ? primaryLease.epoch : undefined
  if (readsAnywhere || primaryLease === undefined) {
    return {
      maySend: (isRead) => isRead && readsAnywhere,
      get epoch () { return heldEpoch() },
      coversWrite: false,
      whileRunning: async (command) => await command()
    }
  }
  const use = leadership.trackUse({ group, lease: primaryLease, abort: () => lease.connection.close() })
  lease.onEnd(use.end)
  return {
    maySend: () => use.maySend,
    get epoch () { return heldEpoch() },
    get coversWrite () { return use.isCovered },
    whileRunning: use.whileRunning
  }
}
