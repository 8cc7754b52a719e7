/** Changes the primary of a group at an operator's request, and reports anything else than the requested result. */
import { RequestError, type Verdict } from '../../core/errors/index.ts'
import { Deadline, pause } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { preferredReplica } from './choose-successor.ts'
import type { Elections } from './elections.ts'

/** Time for this keeper to learn that the upstream was restored, in milliseconds. */
const RESTORED_TIMEOUT_MS = 1000
const RESTORED_POLL_MS = 20

/** Options of {@link promoteOnRequest}. */
interface RequestedPromotion {
  view: GroupView
  elections: Pick<Elections, 'run'>
  /** The new primary; by default the replica with the most advanced log. */
  upstream?: string
}

/**
 * Changes the primary. When that fails half-way, the old primary is elected for a new term at once, also where the duty
 * `promotion` is not `act`.
 *
 * @param options - the group and the requested upstream
 * @returns description of the new primary
 * @throws RequestError `InvalidCommand` when the requested upstream does not lead then
 */
export async function promoteOnRequest ({ view, elections, upstream }: RequestedPromotion): Promise<string> {
  if (upstream !== undefined && !view.upstreams.has(upstream)) {
    throw notPromoted('not-run', view.name, `it has no upstream '${upstream}'`)
  }
  if (upstream !== undefined && await isDrainingFor(view, upstream)) {
    throw notPromoted('not-run', view.name, `${upstream} is draining`)
  }
  const preferred = upstream ?? preferredReplica(view)
  if (preferred === undefined && view.usablePrimary !== undefined) {
    throw notPromoted('not-run', view.name, 'no replica accepts work')
  }
  const oldPrimary = view.leadership.primary
  const { primary, mayHaveFenced, description } =
    await elections.run({ reason: 'requested by an operator', preferred, planned: true })
  if (mayHaveFenced) {
    await elections.run({ reason: 'a requested change failed half-way', preferred: oldPrimary, planned: false })
  }
  if (primary === undefined || (upstream !== undefined && primary !== upstream)) {
    throw notPromoted(mayHaveFenced ? 'may-have-run' : 'not-run', view.name, description)
  }
  return description
}

/** Whether an upstream, which would be replaced again at once, goes on draining. */
async function isDrainingFor (view: GroupView, upstream: string): Promise<boolean> {
  const deadline = new Deadline(RESTORED_TIMEOUT_MS)
  while (view.isDraining(upstream) && !deadline.passed) {
    await pause(RESTORED_POLL_MS)
  }
  return view.isDraining(upstream)
}

function notPromoted (verdict: Verdict, group: string, cause: string): RequestError {
  const reason = `the primary of group ${group} was not changed as requested: ${cause}`
  return new RequestError(verdict, 'InvalidCommand', { reason })
}
