/**
 * The right of this host to work at a primary. It rests on the group's row, on the age of the last confirmation of the
 * registry, and on what peers have asked to be closed.
 */
import { createWaiters } from '../../core/time/waiters.ts'
import type { Registry } from '../registry/index.ts'
import { EXTENDED_LEASE_MS, PRIMARY_LEASE_MS } from '../registry/lease-times.ts'
import type { ClosedEpoch, PrimaryLease } from './types.ts'

/** Leases on primaries. */
export interface PrimaryLeases {
  /** The right at this moment; it must be asked again right before each sending. */
  of: (group: string) => PrimaryLease | undefined
  /** Takes note that peers have extended the rights, and when they were asked. */
  extend: (askedAt: number) => void
  /** Time since the rights were last confirmed or extended, in milliseconds. */
  ageMs: () => number
  /** Epochs that are closed as far as this host knows. */
  closed: () => ClosedEpoch[]
  /** Gives up the right to a group in an epoch and all before it. */
  close: (group: string, epoch: number) => void
  /** Waits until there is a right, for a bounded time. */
  wait: (group: string, timeoutMs: number) => Promise<PrimaryLease | undefined>
  /**
   * Waits until a group has a primary at which hosts may work, whether or not this one may, for a bounded time.
   *
   * @returns the primary and its epoch
   */
  waitForPrimary: (group: string, timeoutMs: number) => Promise<PrimaryLease | undefined>
  /** Looks whether those who wait have their right now. */
  notify: () => void
}

/**
 * Creates the rights.
 *
 * @param registry - what is confirmed
 * @returns the rights
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
    of,
    ageMs,
    extend: (askedAt) => { extendedAt = Math.max(extendedAt, askedAt) },
    closed: () => {
      const known = [...closedEpochs].map(([group, epoch]) => ({ group, epoch }))
      return [...known, ...registry.current.closedGroups]
    },
    close: (group, epoch) => { closedEpochs.set(group, Math.max(epoch, closedEpochs.get(group) ?? 0)) },
    wait: async (group, timeoutMs) => await waiters.until(() => of(group), timeoutMs),
    waitForPrimary: async (group, timeoutMs) => await waiters.until(() => primaryOf(group), timeoutMs),
    notify: waiters.notify
  }
}
