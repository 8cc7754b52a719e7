/**
 * Fences upstreams with a term. A fenced upstream rejects writes and replication from lower terms, and accepts each
 * term only once.
 */
import type { LogFields, Logger } from '../../core/logger/index.ts'
import { describeThrown } from '../../core/errors/index.ts'
import { withTimeout } from '../../core/time/deadline.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import type { FencedUpstream } from './choose-successor.ts'

/** Time limit for fencing a majority, in milliseconds. */
const FENCE_TIMEOUT_MS = 500

/** Parameters of a fence. */
export interface FenceRequest {
  view: GroupView
  term: number
  /** Preferred successor, if any. */
  preferred?: string
  logger: Logger
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
  request: FenceRequest, fencedPrimary?: FencedUpstream
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
export async function fenceUpstream (
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
