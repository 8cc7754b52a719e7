/** Deletes request keys that are older than they must be remembered, a few at a time. */
import type { Group } from '../../core/config/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import { EMPTY_ANSWER } from '../../mysql/types.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { useManualCommit } from '../upstreams/manual-commit.ts'
import { callProcedure } from '../upstreams/procedures.ts'

/** Options of {@link startLedgerSweeper}. */
interface LedgerSweeperOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  group: () => Group
}

/** Time between two sweeps, in milliseconds. */
export const SWEEP_INTERVAL_MS = 60_000
/** Keys deleted with one statement, so that no sweep holds locks for long. */
const SWEEP_KEYS = 500
const SWEEP_DEADLINE_MS = 2000
const LOWEST_PRIORITY = 0
/**
 * Keys stay a while longer than they are accepted, so that a request is never run again because clocks differ.
 */
const GRACE_MS = 3_600_000

/**
 * Starts sweeping.
 *
 * @param options - the group and its connections
 * @returns how to sweep now, and how to stop
 */
export function startLedgerSweeper (
  { view, pools, group }: LedgerSweeperOptions
): { sweep: () => Promise<number>, close: () => void } {
  const sweep = async (): Promise<number> => {
    const pool = pools.get(view.leadership.primary)
    if (view.usablePrimary === undefined || pool === undefined) {
      return 0
    }
    const deadline = new Deadline(SWEEP_DEADLINE_MS)
    const before = Date.now() - group().keyRetentionMs - GRACE_MS
    const request = { access: 'write', priority: LOWEST_PRIORITY, deadline } as const
    const answer = await pool.run(request, async (client) => {
      await useManualCommit(client, false, deadline.leftMs)
      return await client.run(callProcedure('sweep', [before, SWEEP_KEYS]), deadline.leftMs, 'may-have-run')
    })
      // The next sweep takes what this one left; the pool has recorded the failure of its upstream.
      .catch(() => EMPTY_ANSWER)
    return answer.type === 'done' ? answer.affectedRows : 0
  }
  const sweepAll = async (): Promise<void> => {
    while (await sweep() === SWEEP_KEYS) {
      // A full batch says that there is more.
    }
  }
  const timer = setInterval(() => { void sweepAll() }, SWEEP_INTERVAL_MS)
  timer.unref()
  return { sweep, close: () => clearInterval(timer) }
}
