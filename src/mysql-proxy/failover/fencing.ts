/**
 * Fences upstreams with a term. A fenced upstream rejects writes and replication from lower terms, and accepts each
 * term only once.
 */
import { Deadline, withTimeout } from '../../core/time/deadline.ts'
import { comparePositions } from '../../positions/position.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { logEnd } from '../upstreams/status.ts'
import type { FencedUpstream } from './choose-successor.ts'

/** Time limit for fencing a majority, in milliseconds. */
const FENCE_TIMEOUT_MS = 500
/** Time limit for a planned successor to catch up with the old primary, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1000

/** Parameters of a fence. */
interface FenceRequest {
  view: GroupView
  term: number
  /** Preferred successor, if any. */
  preferred?: string
}

/**
 * Fences the old primary and waits until the preferred successor has replicated its log. Otherwise the old primary
 * would have the most advanced log and win the election.
 *
 * @param request - group, term and successor
 * @returns the old primary; undefined when it rejects the fence, or when either upstream is unknown or times out
 */
export async function fencePrimary ({ view, term, preferred }: FenceRequest): Promise<FencedUpstream | undefined> {
  const oldPrimary = view.usablePrimary
  const successor = view.upstreams.get(preferred ?? '')
  if (oldPrimary === undefined || successor === undefined) {
    return undefined
  }
  try {
    const { accepted, status } = await oldPrimary.channel.command('fence', [term])
    if (!accepted) {
      return undefined
    }
    const end = logEnd(status)
    await successor.channel.waitUntil(
      (candidate) => comparePositions(logEnd(candidate), end) >= 0, new Deadline(CATCH_UP_TIMEOUT_MS))
    return { view: oldPrimary, status }
  } catch {
    // The election continues without the old primary, as in an unplanned failover.
    return undefined
  }
}

/**
 * Fences all upstreams and waits until a majority and the preferred upstream have accepted, for at most
 * {@link FENCE_TIMEOUT_MS}.
 *
 * @param request - group, term and successor
 * @param fencedPrimary - the old primary, if it is already fenced
 * @returns upstreams that accepted in time; may be less than a majority
 */
export async function fenceMajority (
  { view, term, preferred }: FenceRequest, fencedPrimary: FencedUpstream | undefined
): Promise<FencedUpstream[]> {
  const fenced: FencedUpstream[] = fencedPrimary === undefined ? [] : [fencedPrimary]
  const others = [...view.upstreams.values()].filter((upstream) => upstream !== fencedPrimary?.view)
  const hasPreferred = (): boolean =>
    preferred === undefined || fenced.some((candidate) => candidate.view.declaration.name === preferred)
  const sufficient = new Promise<void>((resolve) => {
    const attempts = others.map(async (upstream) => {
      const { accepted, status } = await upstream.channel.command('fence', [term])
      if (accepted) {
        fenced.push({ view: upstream, status })
      }
      if (fenced.length >= view.majority && hasPreferred()) {
        resolve()
      }
    })
    void Promise.allSettled(attempts).then(() => resolve())
  })
  await withTimeout(sufficient, FENCE_TIMEOUT_MS)
  return [...fenced]
}
