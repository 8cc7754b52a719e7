/**
 * Decides when a committed write may be acknowledged: once a majority of upstreams holds the record (`replicated`),
 * which then survives a failover, or once a majority reports no higher term (`confirmed`), after which a crash can
 * still lose the record. The record must belong to the term of the primary that the write was sent to.
 */
import type { Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { WriteTarget } from './primary-work.ts'

/**
 * Waits until a committed write may be acknowledged.
 *
 * @param options - group, kind and deadline of the write
 * @param target - primary that committed the write
 * @param position - log position of the write
 * @throws RequestError `NotAcknowledged` with verdict `may-have-run` on timeout or when the primary was superseded
 */
export async function waitForAcknowledgement (
  { view, kind, deadline }: { view: GroupView, kind: Kind, deadline: Deadline },
  target: WriteTarget,
  position: LogPosition
): Promise<void> {
  const notAcknowledged = (reason: string): RequestError =>
    new RequestError('may-have-run', 'NotAcknowledged', { group: view.name, reason })
  if (position.term !== target.term) {
    throw notAcknowledged('the primary was superseded')
  }
  const source = target.view.declaration.name
  const acknowledged = await ACKNOWLEDGEMENT_HANDLERS[kind.acknowledgement](view, position, source, deadline)
  if (!acknowledged) {
    throw notAcknowledged('the primary was superseded, or too few replicas followed in time')
  }
}

const ACKNOWLEDGEMENT_HANDLERS: Record<
  Kind['acknowledgement'],
  (view: GroupView, position: LogPosition, source: string, deadline: Deadline) => Promise<boolean>
> = {
  replicated: async (view, position, source, deadline) => await view.waitForMajority(position, source, deadline),
  confirmed: async (view, position, _source, deadline) => {
    const answers = await view.queryMajority(deadline)
    return answers.every(({ status }) => status.term <= position.term && status.fencedTerm <= position.term)
  }
}
