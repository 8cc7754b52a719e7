/** Runs operations on the primary of a group, within the term in which it was elected. */
import type { Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { Client } from '../../mysql/client.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { isConnectionLost, isReadOnlyRefusal } from './what-is-repeated.ts'

/** The primary that a write is sent to, with its term. */
export interface WriteTarget {
  view: UpstreamView
  term: number
}

/** Options of an operation on a primary. */
export interface PrimaryWorkOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  kind: Kind
  deadline: Deadline
}

/** Suggested retry delay for callers when the primary was removed, in milliseconds. */
const RETRY_AFTER_MS = 100

/**
 * Runs an operation on a connection to the primary.
 *
 * @param options - the group, its connection pools, and kind and deadline of the operation
 * @param target - the primary and its term
 * @param work - the operation
 * @returns the result of the operation
 * @throws RequestError with verdict `not-run` when a newer term began before the operation
 */
export async function runOnPrimary<Result> (
  { pools, kind, deadline, view }: PrimaryWorkOptions,
  target: WriteTarget,
  work: (client: Client) => Promise<Result>
): Promise<Result> {
  const { name } = target.view.declaration
  const pool = pools.get(name)
  if (pool === undefined) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: view.name, reason: `${name} was removed`, retryAfterMs: RETRY_AFTER_MS
    })
  }
  try {
    return await pool.run({ access: 'write', priority: kind.priority, deadline }, async (client) => {
      if (view.leadership.term !== target.term) {
        throw new RequestError('not-run', 'ConnectionLost', { upstream: name, reason: 'it was superseded' })
      }
      return await work(client)
    })
  } catch (thrown) {
    if (isConnectionLost(thrown)) {
      view.markUnreachable(name, thrown.message)
    }
    if (isReadOnlyRefusal(thrown)) {
      // Refreshes the primary's status. A failure marks it unreachable; the caller still receives the refusal.
      await target.view.channel.fetchStatus().catch(() => {})
    }
    throw thrown
  }
}
