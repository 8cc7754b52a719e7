/** Connection pools of one home for all upstreams of a group. */
import type { Group } from '../../core/config/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { createConnectionPool, type ConnectionPool } from './connection-pool.ts'

/** Connection pools of a group. */
interface GroupPools {
  /** Pools by the name of the upstream. */
  readonly byName: Map<string, ConnectionPool>
  /** Applies changed declarations of the group. */
  update: (group: Group) => void
  /** Closes the connections to all upstreams except one, which fails the work in progress there. */
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
 * @param options - the group and the dialer of its connections
 * @returns the pools; connections are opened on demand
 */
export function createGroupPools ({ name, group, dialer }: GroupPoolsOptions): GroupPools {
  const byName = new Map<string, ConnectionPool>()

  const closeUndeclared = (declared: Set<string>): void => byName.forEach((pool, upstream) => {
    if (!declared.has(upstream)) {
      pool.close()
      byName.delete(upstream)
    }
  })

  const update = (current: Group): void => {
    closeUndeclared(new Set(current.upstreams.map((upstream) => upstream.name)))
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
          initialConcurrency: current.limits.slots,
          queueCapacity: current.limits.queue
        }))
      }
    }
  }
  update(group)

  return {
    byName,
    update,
    abortAllExcept: (excluded) => byName.forEach((pool, upstream) => {
      if (upstream !== excluded) {
        pool.abort()
      }
    }),
    close: () => byName.forEach((pool) => pool.close())
  }
}

/** Divides the upstream's connections, except the reserved ones, equally between the homes. */
function shareOf ({ limits }: Group): number {
  return Math.max(1, Math.floor((limits.connections - limits.reservedConnections) / limits.homes))
}
