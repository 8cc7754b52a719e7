/**
 * Elects a primary for a new term. Fencing a majority with the term prevents older primaries from acknowledging writes;
 * promoting the fenced upstream with the most advanced log keeps every acknowledged write. Safety does not depend on
 * clocks, leases or the platform.
 */
import { silentLogger, type Logger } from '../../core/logger/index.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { chooseSuccessor, nextTerm } from './choose-successor.ts'
import { fenceMajority, type FenceRequest } from './fencing.ts'
import { prepareChange, type PreparedElection } from './planned-change.ts'

/** Outcome of an election. */
type ElectionResult =
  | { type: 'promoted', term: number, primary: string }
  | { type: 'failed', term: number, reason: string, mayHaveFenced: boolean }

/** Options of {@link electPrimary}. */
interface ElectionOptions {
  view: GroupView
  /** Upstream to promote when no other log is more advanced. */
  preferred?: string
  /** Whether a primary that serves is replaced, which the preferred upstream has to catch up with first. */
  planned: boolean
  /** Receives the outcome of each fence. */
  logger?: Logger
}

/**
 * Elects a primary.
 *
 * @param options - the group and the preferred upstream
 * @returns the new term and primary, or the reason for the failure
 */
export async function electPrimary (
  { view, preferred, planned, logger = silentLogger }: ElectionOptions
): Promise<ElectionResult> {
  const statuses = [...view.upstreams.values()].map(({ channel }) => channel.latest?.status)
  const term = nextTerm(view.leadership.term, statuses)
  const [oldPrimary, successor] = [view.usablePrimary, view.upstreams.get(preferred ?? '')]
  const prepared = planned && oldPrimary !== undefined && successor !== undefined
    ? await prepareChange({ view, term, oldPrimary, successor, logger })
    : await prepareFailover({ view, term, preferred, logger })
  if (prepared.type === 'failed') {
    return { ...prepared, term }
  }
  const primary = prepared.primary.declaration.name
  if (!await promote(prepared.primary, term)) {
    const reason = `${primary} did not take the promotion, or another term came first`
    return { type: 'failed', term, reason, mayHaveFenced: true }
  }
  repointOthers(view, primary, term)
  return { type: 'promoted', term, primary }
}

/** Fences a majority and chooses the upstream with the most advanced log. */
async function prepareFailover (request: FenceRequest): Promise<PreparedElection> {
  const { view, preferred } = request
  const { fenced, mayHaveFenced } = await fenceMajority(request)
  if (fenced.length < view.majority) {
    const reason = `only ${fenced.length} of ${view.upstreams.size} upstreams were fenced`
    return { type: 'failed', reason, mayHaveFenced }
  }
  const successor = chooseSuccessor(fenced, { preferred, isLeaving: (upstream) => view.isDraining(upstream) })
  return { type: 'ready', primary: successor.view }
}

/**
 * Tells an upstream to replicate from the primary. Errors are ignored.
 *
 * @param upstream - the upstream
 * @param primary - name of the primary
 * @param term - term of the primary
 */
export async function repointUpstream (upstream: UpstreamView, primary: string, term: number): Promise<void> {
  try {
    await upstream.channel.command('follow', [primary, term])
  } catch {
    // Retried after the next full round of probes; see `repointReplicas`.
  }
}

/** Promotes an upstream; if the command fails, reads its status to find out whether the promotion took effect. */
async function promote ({ channel }: UpstreamView, term: number): Promise<boolean> {
  try {
    return (await channel.command('promote', [term])).accepted
  } catch {
    // Without a status the promotion counts as failed, and the next election uses a higher term.
    const observed = await channel.fetchStatus().catch(() => undefined)
    return observed?.status.term === term && observed.status.role === 'primary'
  }
}

function repointOthers (view: GroupView, primary: string, term: number): void {
  for (const upstream of view.upstreams.values()) {
    if (upstream.declaration.name !== primary) {
      void repointUpstream(upstream, primary, term)
    }
  }
}
