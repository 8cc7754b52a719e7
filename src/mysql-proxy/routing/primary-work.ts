/**
 * Work on the primary of a group, within the term it was chosen for. Relies on the pools for a connection and on the
 * view for the term.
 */
import type { Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { Client } from '../../mysql/client.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { isConnectionLost, isReadOnlyRefusal } from './what-is-repeated.ts'

/** The primary a write goes to. */
export interface WriteTarget {
  view: UpstreamView
  term: number
}

/** What work on a primary needs. */
export interface PrimaryWork {
  view: GroupView
  pools: Map<string, ConnectionPool>
  kind: Kind
  deadline: Deadline
}

/** Time after which a caller should come back after a refusal, in milliseconds. */
const RETRY_AFTER_MS = 100

/**
 * Runs work on a connection to the primary.
 *
 * @param options - the group, its connections, and what the work needs
 * @param target - the primary and its term
 * @param work - the work
 * @returns what the work returned
 * @throws RequestError with verdict `not-run` when the term has passed before the work began
 */
export async function onPrimary<Result> (
  { pools, kind, deadline, view }: PrimaryWork,
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
      // A primary that does not answer is marked by the channel's own failure; the refusal is what the caller gets.
      await target.view.channel.fetchStatus().catch(() => {})
    }
    throw thrown
  }
}
