/**
 * Replaces a primary that serves by a given replica, which catches up twice: while the primary goes on serving, and
 * after the fence. If it does not, the old primary goes on, after the fence in a new term.
 */
import type { Logger } from '../../core/logger/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import { comparePositions, type LogPosition } from '../../positions/position.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { logEnd } from '../upstreams/status.ts'
import { chooseSuccessor, type FencedUpstream } from './choose-successor.ts'
import { fenceMajority, fenceUpstream } from './fencing.ts'

/** Time limit of each of the two steps in which the successor catches up, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1000

/** Parameters of a planned change. */
export interface PlannedChange {
  view: GroupView
  /** The new term. */
  term: number
  oldPrimary: UpstreamView
  successor: UpstreamView
  logger: Logger
}

/** The upstream to promote, which the fence covers with a majority; or why the change ended before. */
export type PreparedElection =
  | { type: 'ready', primary: UpstreamView }
  | { type: 'failed', reason: string, mayHaveFenced: boolean }

/**
 * Prepares a change: lets the successor catch up, fences a majority, and chooses the successor, or the old primary if
 * the successor's log is behind.
 *
 * @param change - the change
 * @returns the upstream to promote, or the reason for the failure
 */
export async function prepareChange (change: PlannedChange): Promise<PreparedElection> {
  const { view, term, oldPrimary, successor } = change
  const [oldName, newName] = [oldPrimary, successor].map(({ declaration }) => declaration.name)
  const failed = (reason: string, mayHaveFenced: boolean): PreparedElection => ({ type: 'failed', reason, mayHaveFenced })
  const before = await oldPrimary.channel.fetchStatus().catch(() => undefined)
  if (before === undefined || !await catchUp(successor, logEnd(before.status))) {
    const reason = `${newName} did not reach the log of ${oldName} within ${CATCH_UP_TIMEOUT_MS} ms`
    return failed(`${reason}; ${oldName} is still primary`, false)
  }
  const request = { view, term, preferred: newName, logger: change.logger }
  let fencedPrimary: FencedUpstream | undefined
  try {
    fencedPrimary = await fenceUpstream(request, oldPrimary)
  } catch {
    return failed(`${oldName} did not answer the fence; it may have taken it`, true)
  }
  if (fencedPrimary === undefined) {
    return failed(`${oldName} refused the fence; another election came first`, false)
  }
  await catchUp(successor, logEnd(fencedPrimary.status))
  const { fenced } = await fenceMajority(request, fencedPrimary)
  if (fenced.length < view.majority) {
    return failed(`only ${fenced.length} of ${view.upstreams.size} upstreams were fenced`, true)
  }
  // Always one with the most advanced log, which has every acknowledged write.
  const [furthest, fallback] = [newName, oldName].map((preferred) =>
    chooseSuccessor(fenced, { preferred, isLeaving: () => false }).view)
  return { type: 'ready', primary: furthest === successor ? successor : fallback! }
}

/** Waits until an upstream has reached a log position; returns whether it did in time. */
async function catchUp ({ channel }: UpstreamView, end: LogPosition): Promise<boolean> {
  const reached = await channel.waitUntil(
    (status) => comparePositions(logEnd(status), end) >= 0, new Deadline(CATCH_UP_TIMEOUT_MS))
  return reached !== undefined
}
