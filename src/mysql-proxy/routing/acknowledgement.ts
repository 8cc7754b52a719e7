/**
 * Rule: when may a committed write be acknowledged?
 *
 * Inputs: the place of its record in the log (term, position), the term its primary was chosen for, the upstream that
 * wrote it, the acknowledgement its kind declares, and the time left (ms).
 *
 * - The record must stand in the term the primary was chosen for; otherwise another primary may have taken over.
 * - `replicated`: a majority has the record, counted in its own term. A failover fences a majority, which shares an
 *   upstream with this one, so the record survives it.
 * - `confirmed`: a majority reports that it has seen no higher term. It does not wait for replicas; a crash can lose
 *   the tail that was not replicated.
 * - Without that in time the verdict is `may-have-run`: the record may survive all the same.
 */
import type { Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { WriteTarget } from './primary-work.ts'

/**
 * Waits until a committed change may be acknowledged.
 *
 * @param options - the request
 * @param target - the primary it was committed on
 * @param place - where it stands in the log
 * @throws RequestError with verdict `may-have-run` when the term was superseded or time ran out
 */
export async function acknowledge (
  { view, kind, deadline }: { view: GroupView, kind: Kind, deadline: Deadline }, target: WriteTarget, place: LogPosition
): Promise<void> {
  const refuse = (reason: string): RequestError =>
    new RequestError('may-have-run', 'NotAcknowledged', { group: view.name, reason })
  if (place.term !== target.term) {
    throw refuse('the primary was superseded')
  }
  const source = target.view.declaration.name
  const acknowledged = await ACKNOWLEDGEMENT_HANDLERS[kind.acknowledgement](view, place, source, deadline)
  if (!acknowledged) {
    throw refuse('the primary was superseded, or too few replicas followed in time')
  }
}

const ACKNOWLEDGEMENT_HANDLERS: Record<
  Kind['acknowledgement'],
  (view: GroupView, place: LogPosition, source: string, deadline: Deadline) => Promise<boolean>
> = {
  replicated: async (view, place, source, deadline) => await view.waitForMajority(place, source, deadline),
  confirmed: async (view, place, _source, deadline) => {
    const answers = await view.queryMajority(deadline)
    return answers.every(({ status }) => status.term <= place.term && status.fencedTerm <= place.term)
  }
}
