/**
 * Decides whether this host holds a lease on a group's primary, without which it must not use it. The row must be open,
 * its epoch not closed on this host, and the last confirmation by the store at most PRIMARY_LEASE_MS old. An extension
 * by peers counts like a confirmation until the confirmation before it is EXTENDED_LEASE_MS old, so that a promoter can
 * rely on the expiry of the leases of hosts that it cannot reach.
 */
import { createWaiters } from '../../core/time/waiters.ts'
import type { Registry } from '../registry/index.ts'
import { EXTENDED_LEASE_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { ClosedEpoch, PrimaryLease } from './types.ts'

/** An extension of the leases by peers. */
interface Extension {
  /** Time when the peers were asked, in milliseconds. */
  askedAt: number
  /** Time of the last confirmation by the store when the peers were asked, in milliseconds. */
  confirmedAt: number
}

/** Leases of this host on the primaries of all groups. */
export interface PrimaryLeases {
  /** Returns the current lease, if any; it must be checked again right before each statement is sent. */
  leaseOf: (group: string) => PrimaryLease | undefined
  /** Records that peers have extended the leases; the times are on the monotonic clock. */
  recordExtension: (extension: Extension) => void
  /** Time since the leases were last confirmed or extended, in milliseconds. */
  ageMs: () => number
  /** Epochs known to this host as closed, by its own closing or by a closed row; a group may be listed for both. */
  closedEpochs: () => ClosedEpoch[]
  /** Newest epoch of each group in which no host may use the primary: closed on this host, or over by its row. */
  endedEpochs: () => ClosedEpoch[]
  /** Gives up the lease on a group's primary in an epoch and all earlier ones. */
  closeEpoch: (group: string, epoch: number) => void
  /** Gives up all leases for good. */
  giveUp: () => void
  /** Waits until this host holds a lease, or the timeout passes. */
  waitForLease: (group: string, timeoutMs: number) => Promise<PrimaryLease | undefined>
  /**
   * Waits until a group has a primary in an open epoch, even if this host holds no lease, or the timeout passes.
   *
   * @returns the primary and its epoch, or undefined after the timeout
   */
  waitForPrimary: (group: string, timeoutMs: number) => Promise<PrimaryLease | undefined>
  /** Re-evaluates the conditions of waiting callers. */
  notify: () => void
}

/**
 * Creates the leases of this host.
 *
 * @param registry - the snapshot and the age of its confirmation
 * @returns the leases
 */
export function createPrimaryLeases (registry: Pick<Registry, 'current' | 'confirmedAgeMs'>): PrimaryLeases {
  const closedEpochs = new Map<string, number>()
  let extension: Extension = { askedAt: -Infinity, confirmedAt: -Infinity }
  let givenUp = false
  const ageMs = (): number => {
    const confirmedMs = registry.confirmedAgeMs()
    const now = performance.now()
    const isExtended = now - extension.confirmedAt <= EXTENDED_LEASE_MS
    return isExtended ? Math.min(confirmedMs, now - extension.askedAt) : confirmedMs
  }
  const waiters = createWaiters()

  const closedHere = (): ClosedEpoch[] => [...closedEpochs].map(([group, epoch]) => ({ group, epoch }))
  const primaryOf = (group: string): PrimaryLease | undefined => {
    const { row } = registry.current.group(group)
    const closed = row === undefined || row.state !== 'open' || row.epoch <= (closedEpochs.get(group) ?? 0)
    return closed ? undefined : { upstream: row.primary, epoch: row.epoch }
  }
  const leaseOf = (group: string): PrimaryLease | undefined =>
    givenUp || ageMs() > PRIMARY_LEASE_MS ? undefined : primaryOf(group)
  return {
    leaseOf,
    ageMs,
    recordExtension: (newer) => { extension = newer.askedAt > extension.askedAt ? newer : extension },
    closedEpochs: () => [...closedHere(), ...registry.current.closedGroups],
    endedEpochs: () => {
      const ended = new Map(registry.current.endedEpochs.map(({ group, epoch }) => [group, epoch]))
      closedHere().forEach(({ group, epoch }) => ended.set(group, Math.max(epoch, ended.get(group) ?? 0)))
      return [...ended].map(([group, epoch]) => ({ group, epoch }))
    },
    closeEpoch: (group, epoch) => { closedEpochs.set(group, Math.max(epoch, closedEpochs.get(group) ?? 0)) },
    giveUp: () => { givenUp = true },
    waitForLease: async (group, timeoutMs) => await waiters.until(() => leaseOf(group), timeoutMs),
    waitForPrimary: async (group, timeoutMs) => await waiters.until(() => primaryOf(group), timeoutMs),
    notify: waiters.notify
  }
}
