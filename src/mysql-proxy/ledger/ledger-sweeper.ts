/** Periodically deletes expired request keys from the ledger, in small batches. */
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

/** Interval of sweeps, in milliseconds. */
export const SWEEP_INTERVAL_MS = 60_000
/** Most keys deleted by one statement, so that it doesn't hold locks for long. */
const SWEEP_BATCH_SIZE = 500
const SWEEP_DEADLINE_MS = 2000
const LOWEST_PRIORITY = 0
/** Time that keys are kept after they are no longer accepted, in milliseconds; tolerates clock skew between hosts. */
const CLOCK_SKEW_GRACE_MS = 3_600_000

/**
 * Starts the periodic sweeps of a group's ledger.
 *
 * @param options - the group's view, connection pools and declaration
 * @returns `sweep` deletes one batch and returns the number of deleted keys; `close` stops the sweeps
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
    const createdBefore = Date.now() - group().keyRetentionMs - CLOCK_SKEW_GRACE_MS
    const request = { access: 'write', priority: LOWEST_PRIORITY, deadline } as const
    const answer = await pool.run(request, async (client) => {
      await useManualCommit(client, false, deadline.leftMs)
      return await client.run(callProcedure('sweep', [createdBefore, SWEEP_BATCH_SIZE]), deadline.leftMs, 'may-have-run')
    })
      // The next sweep retries; the pool has already recorded the failure of the upstream.
      .catch(() => EMPTY_ANSWER)
    return answer.type === 'done' ? answer.affectedRows : 0
  }
  const sweepAllBatches = async (): Promise<void> => {
    while (await sweep() === SWEEP_BATCH_SIZE) {
      // A full batch means that more keys may have expired.
    }
  }
  const timer = setInterval(() => { void sweepAllBatches() }, SWEEP_INTERVAL_MS)
  timer.unref()
  return { sweep, close: () => clearInterval(timer) }
}
