/**
 * Fences upstreams with a term. A fenced upstream rejects writes and replication from lower terms, and accepts each
 * term only once.
 */
import type { LogFields, Logger } from '../../core/logger/index.ts'
import { describeThrown } from '../../core/errors/index.ts'
import { Deadline, withTimeout } from '../../core/time/deadline.ts'
import { comparePositions } from '../../positions/position.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
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
  logger: Logger
}

/**
 * Fences the old primary and waits until the preferred successor has replicated its log. Otherwise the old primary
 * would have the most advanced log and win the election.
 *
 * @param request - group, term and successor
 * @returns the old primary; undefined when it rejects the fence, or when either upstream is unknown or times out
 */
export async function fencePrimary (request: FenceRequest): Promise<FencedUpstream | undefined> {
  const { view, preferred } = request
  const oldPrimary = view.usablePrimary
  const successor = view.upstreams.get(preferred ?? '')
  if (oldPrimary === undefined || successor === undefined) {
    return undefined
  }
  try {
    const fenced = await fenceUpstream(request, oldPrimary)
    if (fenced === undefined) {
      return undefined
    }
    const end = logEnd(fenced.status)
    await successor.channel.waitUntil(
      (candidate) => comparePositions(logEnd(candidate), end) >= 0, new Deadline(CATCH_UP_TIMEOUT_MS))
    return fenced
  } catch {
    // The election continues without the old primary, as in an unplanned failover.
    return undefined
  }
}

/** Outcome of a fence of all upstreams. */
interface FenceResult {
  /** Upstreams that accepted in time; may be less than a majority. */
  fenced: FencedUpstream[]
  /** Whether an upstream accepted, or may have, since it did not answer. */
  mayHaveFenced: boolean
}

/**
 * Fences all upstreams and waits until a majority and the preferred upstream have accepted, for at most
 * {@link FENCE_TIMEOUT_MS}.
 *
 * @param request - group, term and successor
 * @param fencedPrimary - the old primary, if it is already fenced
 * @returns the outcome
 */
export async function fenceMajority (
  request: FenceRequest, fencedPrimary: FencedUpstream | undefined
): Promise<FenceResult> {
  const { view, preferred } = request
  let refused = 0
  const fenced: FencedUpstream[] = fencedPrimary === undefined ? [] : [fencedPrimary]
  const others = [...view.upstreams.values()].filter((upstream) => upstream !== fencedPrimary?.view)
  const hasPreferred = (): boolean =>
    preferred === undefined || fenced.some((candidate) => candidate.view.declaration.name === preferred)
  const sufficient = new Promise<void>((resolve) => {
    const attempts = others.map(async (upstream) => {
      const accepted = await fenceUpstream(request, upstream)
      if (accepted === undefined) {
        refused++
      } else {
        fenced.push(accepted)
      }
      if (fenced.length >= view.majority && hasPreferred()) {
        resolve()
      }
    })
    void Promise.allSettled(attempts).then(() => resolve())
  })
  await withTimeout(sufficient, FENCE_TIMEOUT_MS)
  return { fenced: [...fenced], mayHaveFenced: refused < view.upstreams.size }
}

/**
 * Fences one upstream and logs the outcome.
 *
 * @returns the upstream; undefined when it refused the fence
 */
async function fenceUpstream (
  { view: { name: group }, term, logger }: FenceRequest, upstream: UpstreamView
): Promise<FencedUpstream | undefined> {
  const startedAt = performance.now()
  const log = (outcome: string, fields: LogFields): void => {
    const tookMs = Math.round(performance.now() - startedAt)
    logger.log('info', 'failover.fence', { group, term, upstream: upstream.declaration.name, outcome, tookMs, ...fields })
  }
  try {
    const { accepted, status } = await upstream.channel.command('fence', [term])
    log(accepted ? 'accepted' : 'refused', { fencedTerm: status.fencedTerm })
    return accepted ? { view: upstream, status } : undefined
  } catch (thrown) {
    log('failed', { reason: describeThrown(thrown) })
    throw thrown
  }
}
