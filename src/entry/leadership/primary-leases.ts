/**
 * Decides whether this host holds a lease on a group's primary, the only condition under which it may work there.
 *
 * - Inputs: the group's row, the age of the last confirmation by the store and of the last extension by peers
 *   (milliseconds), and the epochs that peers have asked this host to close.
 * - Rule: the row is open, its epoch is not closed here, and the confirmation is at most PRIMARY_LEASE_MS old. An
 *   extension counts like a confirmation while the last confirmation is at most EXTENDED_LEASE_MS old.
 * - Why: a promoter may then count on the expiry of the leases of hosts that it cannot reach.
 */
import { createWaiters } from '../../core/time/waiters.ts'
import type { Registry } from '../registry/index.ts'
import { EXTENDED_LEASE_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { ClosedEpoch, PrimaryLease } from './types.ts'

/** Leases on primaries. */
export interface PrimaryLeases {
  /** The lease at this moment; it must be checked again right before each sending. */
  leaseOf: (group: string) => PrimaryLease | undefined
  /** Records that peers have extended the leases, and when they were asked, on the steady clock. */
  extend: (askedAt: number) => void
  /** Time since the leases were last confirmed or extended, in milliseconds. */
  ageMs: () => number
  /** Epochs that are closed as far as this host knows. */
  closed: () => ClosedEpoch[]
  /** Gives up the lease on a group's primary in an epoch and all before it. */
  close: (group: string, epoch: number) => void
  /** Waits until there is a lease, for a bounded time. */
  waitForLease: (group: string, timeoutMs: number) => Promise<PrimaryLease | undefined>
  /**
   * Waits until a group has a primary at which hosts may work, whether or not this one may, for a bounded time.
   *
   * @returns the primary and its epoch
   */
  waitForPrimary: (group: string, timeoutMs: number) => Promise<PrimaryLease | undefined>
  /** Re-evaluates the conditions of waiting callers. */
  notify: () => void
}

/**
 * Creates the leases.
 *
 * @param registry - the snapshot and the age of its confirmation
 * @returns the leases
 */
export function createPrimaryLeases (registry: Pick<Registry, 'current' | 'confirmedAgeMs'>): PrimaryLeases {
  const closedEpochs = new Map<string, number>()
  let extendedAt = -Infinity
  const ageMs = (): number => {
    const confirmedMs = registry.confirmedAgeMs()
    return confirmedMs <= EXTENDED_LEASE_MS ? Math.min(confirmedMs, performance.now() - extendedAt) : confirmedMs
  }
  const waiters = createWaiters()

  const primaryOf = (group: string): PrimaryLease | undefined => {
    const { row } = registry.current.group(group)
    const closed = row === undefined || row.state !== 'open' || row.epoch <= (closedEpochs.get(group) ?? 0)
    return closed ? undefined : { upstream: row.primary, epoch: row.epoch }
  }
  const of = (group: string): PrimaryLease | undefined => ageMs() > PRIMARY_LEASE_MS ? undefined : primaryOf(group)
  return {
    leaseOf: of,
    ageMs,
    extend: (askedAt) => { extendedAt = Math.max(extendedAt, askedAt) },
    closed: () => {
      const known = [...closedEpochs].map(([group, epoch]) => ({ group, epoch }))
      return [...known, ...registry.current.closedGroups]
    },
    close: (group, epoch) => { closedEpochs.set(group, Math.max(epoch, closedEpochs.get(group) ?? 0)) },
    waitForLease: async (group, timeoutMs) => await waiters.until(() => of(group), timeoutMs),
    waitForPrimary: async (group, timeoutMs) => await waiters.until(() => primaryOf(group), timeoutMs),
    notify: waiters.notify
  }
}
