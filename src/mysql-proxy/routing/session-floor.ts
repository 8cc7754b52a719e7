/** Finds how far a session has seen, when that is not known yet. Relies on the upstreams' statuses; owns nothing. */
import type { Deadline } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import {
  comparePositions, laterPosition, LOG_START, type LogPosition, type SeenUpstream, type SessionFloor
} from '../../positions/position.ts'
import type { ObservedStatus } from '../upstreams/status-channel.ts'
import { logEnd } from '../upstreams/status.ts'

/**
 * Finds a place in the log that is at or after every write acknowledged so far. Every acknowledged write is on a
 * majority, which shares an upstream with any majority that answers; so the latest end among the majority that is
 * least far is enough.
 *
 * @param view - the group
 * @param deadline - when to give up
 * @returns the place
 */
export async function findReadIndex (view: GroupView, deadline: Deadline): Promise<LogPosition> {
  const answers = await view.queryMajority(deadline)
  return endsOf(answers)[view.majority - 1] ?? LOG_START
}

/**
 * Turns what a session has seen into a place in the log. Upstreams it has read from are asked how far they are,
 * which is at or after what it saw there.
 *
 * @param view - the group
 * @param floor - what the session has seen
 * @param deadline - when to give up
 * @returns a place that covers it
 */
export async function resolveFloor (view: GroupView, floor: SessionFloor, deadline: Deadline): Promise<LogPosition> {
  const ends = await Promise.all(floor.seenOn.map(async (seen) => await findEnd(view, seen, deadline)))
  return ends.reduce(laterPosition, laterPosition(floor, LOG_START))
}

/** When the upstream cannot be asked, the furthest of a majority covers it: its primary had all it showed. */
async function findEnd (
  view: GroupView, { upstream, incarnation }: SeenUpstream, deadline: Deadline
): Promise<LogPosition> {
  const known = view.upstreams.get(upstream)
  if (known?.reachable === true) {
    try {
      const { status } = await deadline.race(known.channel.fetchStatus(), 'not-run', 'finding what a session has seen')
      if (status.incarnation === incarnation) {
        return logEnd(status)
      }
    } catch {
      // The upstream does not answer: the majority is asked instead, which covers what the session saw there.
    }
  }
  return endsOf(await view.queryMajority(deadline)).at(-1) ?? LOG_START
}

/** Ends of the logs, the least far first. */
function endsOf (answers: ObservedStatus[]): LogPosition[] {
  return answers.map(({ status }) => logEnd(status)).sort(comparePositions)
}
