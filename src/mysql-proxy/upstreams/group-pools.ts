/** The connection pools of one home to all upstreams of a group, each with its share. Owns the pools. */
import type { Group } from '../../core/config/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { createConnectionPool, type ConnectionPool } from './connection-pool.ts'

/** Pools by the name of the upstream. */
interface GroupPools {
  readonly byName: Map<string, ConnectionPool>
  /** Replaces the declarations. */
  update: (group: Group) => void
  /** Breaks the connections to all upstreams but one. */
  abortAllExcept: (upstream: string) => void
  close: () => void
}

/** Options of {@link createGroupPools}. */
interface GroupPoolsOptions {
  name: string
  group: Group
  dialer: Dialer
}

/**
 * Creates the pools of a group.
 *
 * @param options - the group and how to reach it
 * @returns the pools; connections are opened when needed
 */
export function createGroupPools ({ name, group, dialer }: GroupPoolsOptions): GroupPools {
  const byName = new Map<string, ConnectionPool>()

  const dropUndeclared = (declared: Set<string>): void => byName.forEach((pool, upstream) => {
    if (!declared.has(upstream)) {
      pool.close()
      byName.delete(upstream)
    }
  })

  const update = (current: Group): void => {
    dropUndeclared(new Set(current.upstreams.map((upstream) => upstream.name)))
    const share = shareOf(current)
    for (const upstream of current.upstreams) {
      const existing = byName.get(upstream.name)
      existing?.setShare(share)
      if (existing === undefined) {
        byName.set(upstream.name, createConnectionPool({
          group: name,
          access: { ...upstream, ...current.account, database: name },
          dialer,
          share,
          slots: current.limits.slots,
          queue: current.limits.queue
        }))
      }
    }
  }
  update(group)

  return {
    byName,
    update,
    abortAllExcept: (kept) => byName.forEach((pool, upstream) => {
      if (upstream !== kept) {
        pool.abort()
      }
    }),
    close: () => byName.forEach((pool) => pool.close())
  }
}

/** Homes divide what is left of the connections after the reserve. */
function shareOf ({ limits }: Group): number {
  return Math.max(1, Math.floor((limits.connections - limits.reservedConnections) / limits.homes))
}
