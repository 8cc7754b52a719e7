/**
 * The right of this host to work at a primary. It rests on the group's row, on the age of the last confirmation of the
 * registry, and on what peers have asked to be closed.
 */
import type { Registry } from '../registry/index.ts'
import { RIGHT_MS } from '../registry/consts.ts'
import type { PrimaryRight } from './types.ts'

/** Rights to primaries. */
export interface Rights {
  /** The right at this moment; it must be asked again right before each sending. */
  of: (group: string) => PrimaryRight | undefined
  /** Gives up the right to a group in an epoch and all before it. */
  close: (group: string, epoch: number) => void
  /** Waits until there is a right, for a bounded time. */
  wait: (group: string, timeoutMs: number) => Promise<PrimaryRight | undefined>
  /** Looks whether those who wait have their right now. */
  notify: () => void
}

/** Someone who waits for a right. */
interface Waiter {
  group: string
  resolve: (right: PrimaryRight | undefined) => void
  timer: NodeJS.Timeout
}

/**
 * Creates the rights.
 *
 * @param registry - what is confirmed
 * @returns the rights
 */
export function createRights (registry: Pick<Registry, 'current' | 'confirmedAgeMs'>): Rights {
  const closedEpochs = new Map<string, number>()
  const waiters = new Set<Waiter>()

  const of = (group: string): PrimaryRight | undefined => {
    const { row } = registry.current.group(group)
    const closed = row === undefined || row.state !== 'open' || row.epoch <= (closedEpochs.get(group) ?? 0)
    return closed || registry.confirmedAgeMs() > RIGHT_MS ? undefined : { upstream: row.primary, epoch: row.epoch }
  }
  return {
    of,
    close: (group, epoch) => { closedEpochs.set(group, Math.max(epoch, closedEpochs.get(group) ?? 0)) },
    wait: async (group, timeoutMs) => {
      const right = of(group)
      if (right !== undefined || timeoutMs <= 0) {
        return right
      }
      return await new Promise((resolve) => {
        const finish = (found: PrimaryRight | undefined): void => {
          clearTimeout(waiter.timer)
          waiters.delete(waiter)
          resolve(found)
        }
        const waiter: Waiter = { group, resolve: finish, timer: setTimeout(() => finish(of(group)), timeoutMs) }
        waiters.add(waiter)
      })
    },
    notify: () => {
      for (const waiter of [...waiters]) {
        const right = of(waiter.group)
        if (right !== undefined) {
          waiter.resolve(right)
        }
      }
    }
  }
}
