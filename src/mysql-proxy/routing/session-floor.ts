/** Resolves session floors and read indexes to log positions, by querying the status of upstreams. */
import type { Deadline } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import {
  comparePositions, laterPosition, LOG_START, type LogPosition, type SeenUpstream, type SessionFloor
} from '../../positions/position.ts'
import type { ObservedStatus } from '../upstreams/status-channel.ts'
import { logEnd } from '../upstreams/status.ts'

/**
 * Finds a read index: a log position that covers every write acknowledged so far. An acknowledged write is on a
 * majority, which overlaps with any majority that answers, so the highest log end of the least advanced majority covers
 * it.
 *
 * @param view - view of the group
 * @param deadline - deadline of the read
 * @returns the log position
 */
export async function findReadIndex (view: GroupView, deadline: Deadline): Promise<LogPosition> {
  const answers = await view.queryMajority(deadline)
  return sortedLogEnds(answers)[view.majority - 1] ?? LOG_START
}

/**
 * Resolves the floor of a session to a log position. For upstreams that the session has read from, their current log
 * end is used, which covers everything that the session read there.
 *
 * @param view - view of the group
 * @param floor - floor of the session
 * @param deadline - deadline of the read
 * @returns a log position that covers the floor
 */
export async function resolveFloor (view: GroupView, floor: SessionFloor, deadline: Deadline): Promise<LogPosition> {
  const ends = await Promise.all(floor.seenOn.map(async (seen) => await findLogEnd(view, seen, deadline)))
  return ends.reduce(laterPosition, laterPosition(floor, LOG_START))
}

/** Returns an upstream's log end, or the highest log end of a majority when the upstream can't be queried. */
async function findLogEnd (
  view: GroupView, { upstream, incarnation }: SeenUpstream, deadline: Deadline
): Promise<LogPosition> {
  const upstreamView = view.upstreams.get(upstream)
  if (upstreamView?.reachable === true) {
    try {
      const { status } = await deadline.race(upstreamView.channel.fetchStatus(), 'not-run', 'finding what a session has seen')
      if (status.incarnation === incarnation) {
        return logEnd(status)
      }
    } catch {
      // The upstream doesn't answer: falls back to a majority, whose highest log end covers what the session read.
    }
  }
  return sortedLogEnds(await view.queryMajority(deadline)).at(-1) ?? LOG_START
}

/** Lists the log ends of upstreams in ascending order. */
function sortedLogEnds (answers: ObservedStatus[]): LogPosition[] {
  return answers.map(({ status }) => logEnd(status)).sort(comparePositions)
}
