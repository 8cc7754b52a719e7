/**
 * Makes a primary for a new term. A majority is fenced with the term, so that no older primary can gain an
 * acknowledgement; the furthest of the fenced is promoted, so that nothing acknowledged is lost. No clock,
 * lease or platform call is part of the argument.
 */
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { chooseSuccessor, nextTerm } from './choose-successor.ts'
import { fenceMajority, fencePrimary } from './fencing.ts'

/** How an election ended. */
type ElectionResult =
  | { type: 'promoted', term: number, primary: string }
  | { type: 'failed', term: number, reason: string }

/** Options of {@link electPrimary}. */
interface ElectionOptions {
  view: GroupView
  /** Chosen when it is as far as the furthest. */
  preferred?: string
  /** Whether the old primary still answers, so that the preferred one may catch up with it first. */
  planned: boolean
}

/**
 * Makes a primary.
 *
 * @param options - the group, and who is preferred
 * @returns the new leadership, or why there is none
 */
export async function electPrimary ({ view, preferred, planned }: ElectionOptions): Promise<ElectionResult> {
  const statuses = [...view.upstreams.values()].map(({ channel }) => channel.latest?.status)
  const term = nextTerm(view.leadership.term, statuses)
  const fence = { view, term, preferred }
  const held = planned ? await fencePrimary(fence) : undefined
  const fenced = await fenceMajority(fence, held)
  if (fenced.length < view.majority) {
    return { type: 'failed', term, reason: `only ${fenced.length} of ${view.upstreams.size} upstreams were fenced` }
  }
  const successor = chooseSuccessor(fenced, { preferred, isLeaving: (upstream) => view.isDraining(upstream) })
  const primary = successor.view.declaration.name
  if (!await promote(successor.view, term)) {
    return { type: 'failed', term, reason: `${primary} did not take the promotion, or another term came first` }
  }
  followAll(view, primary, term)
  return { type: 'promoted', term, primary }
}

/**
 * Lets an upstream follow the primary.
 *
 * @param upstream - the upstream
 * @param primary - name of the primary
 * @param term - its term
 */
export async function follow (upstream: UpstreamView, primary: string, term: number): Promise<void> {
  try {
    await upstream.channel.command('follow', [primary, term])
  } catch {
    // An upstream that does not answer is asked again by the next full round of probes (followStragglers).
  }
}

/** Promotes an upstream; when the answer is lost, its status shows whether it leads the term. */
async function promote ({ channel }: UpstreamView, term: number): Promise<boolean> {
  try {
    return (await channel.command('promote', [term])).accepted
  } catch {
    // The answer is lost. Without a status the promotion counts as failed, and the next election takes a higher term.
    const observed = await channel.fetchStatus().catch(() => undefined)
    return observed?.status.term === term && observed.status.role === 'primary'
  }
}

function followAll (view: GroupView, primary: string, term: number): void {
  for (const upstream of view.upstreams.values()) {
    if (upstream.declaration.name !== primary) {
      void follow(upstream, primary, term)
    }
  }
}
