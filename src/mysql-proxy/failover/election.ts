/**
 * Makes a primary for a new term. A majority is fenced with the term, so that no older primary can gain an
 * acknowledgement any more; the furthest of the fenced is promoted, so that nothing acknowledged is lost. No clock,
 * lease or platform call is part of the argument.
 */
import { Deadline, within } from '../../core/time/deadline.ts'
import type { GroupView, UpstreamView } from '../upstreams/group-view.ts'
import { comparePositions } from '../../positions/position.ts'
import { logEnd, type UpstreamStatus } from '../upstreams/status.ts'

/** An upstream that has accepted a fence. */
interface Fenced {
  view: UpstreamView
  status: UpstreamStatus
}

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

/** Time for the fencing of a majority, in milliseconds. */
const FENCE_TIMEOUT_MS = 500
/** Time a planned successor has to catch up, in milliseconds. */
const CATCH_UP_MS = 1000

/**
 * Makes a primary.
 *
 * @param options - the group, and who is preferred
 * @returns the new leadership, or why there is none
 */
export async function electPrimary (options: ElectionOptions): Promise<ElectionResult> {
  const { view } = options
  const term = nextTerm(view)
  const held = options.planned ? await holdPrimary(options, term) : undefined
  const fenced = await fenceMajority(options, term, held)
  if (fenced.length < view.majority) {
    return { type: 'failed', term, reason: `only ${fenced.length} of ${view.upstreams.size} upstreams were fenced` }
  }
  const winner = chooseWinner(fenced, options)
  const name = winner.view.declaration.name
  if (!await promote(winner.view, term)) {
    return { type: 'failed', term, reason: `${name} did not take the promotion, or another term came first` }
  }
  letFollow(view, name, term)
  return { type: 'promoted', term, primary: name }
}

/**
 * Lets an upstream follow the primary.
 *
 * @param upstream - the upstream
 * @param primary - name of the primary
 * @param term - its term
 * @returns whether it accepted
 */
export async function follow (upstream: UpstreamView, primary: string, term: number): Promise<boolean> {
  try {
    return (await upstream.channel.command('follow', [primary, term])).accepted
  } catch {
    return false
  }
}

/** Promotes an upstream; when the answer is lost, its status tells whether it leads the term. */
async function promote ({ channel }: UpstreamView, term: number): Promise<boolean> {
  try {
    return (await channel.command('promote', [term])).accepted
  } catch {
    const asked = await channel.fresh().catch(() => undefined)
    return asked?.status.term === term && asked.status.role === 'primary'
  }
}

function nextTerm (view: GroupView): number {
  const terms = [...view.upstreams.values()].map(({ channel }) => channel.latest?.status)
    .flatMap((status) => status === undefined ? [] : [status.term, status.fencedTerm])
  return Math.max(view.leadership.term, ...terms) + 1
}

/** Fences the old primary alone and lets the preferred successor catch up with it. */
async function holdPrimary ({ view, preferred }: ElectionOptions, term: number): Promise<Fenced | undefined> {
  const old = view.usablePrimary
  const successor = view.upstreams.get(preferred ?? '')
  if (old === undefined || successor === undefined) {
    return undefined
  }
  try {
    const { accepted, status } = await old.channel.command('fence', [term])
    if (!accepted) {
      return undefined
    }
    const end = logEnd(status)
    await successor.channel.waitUntil(
      (candidate) => comparePositions(logEnd(candidate), end) >= 0, new Deadline(CATCH_UP_MS))
    return { view: old, status }
  } catch {
    return undefined
  }
}

/** Fences until a majority has accepted, and whoever is preferred; one that does not answer holds up nothing. */
async function fenceMajority (
  { view, preferred }: ElectionOptions, term: number, held: Fenced | undefined
): Promise<Fenced[]> {
  const fenced: Fenced[] = held === undefined ? [] : [held]
  const others = [...view.upstreams.values()].filter((upstream) => upstream !== held?.view)
  const enough = new Promise<void>((resolve) => {
    const attempts = others.map(async (upstream) => {
      const { accepted, status } = await upstream.channel.command('fence', [term])
      if (accepted) {
        fenced.push({ view: upstream, status })
      }
      const hasPreferred = preferred === undefined ||
        fenced.some((candidate) => candidate.view.declaration.name === preferred)
      if (fenced.length >= view.majority && hasPreferred) {
        resolve()
      }
    })
    void Promise.allSettled(attempts).then(() => resolve())
  })
  await within(enough, FENCE_TIMEOUT_MS)
  return [...fenced]
}

function chooseWinner (fenced: Fenced[], { view, preferred }: ElectionOptions): Fenced {
  const rank = ({ view: { declaration: { name } } }: Fenced): number => {
    if (name === preferred) {
      return 2
    }
    return view.isLeaving(name) ? 0 : 1
  }
  return [...fenced].sort((left, right) =>
    comparePositions(logEnd(right.status), logEnd(left.status)) || rank(right) - rank(left))[0]!
}

function letFollow (view: GroupView, primary: string, term: number): void {
  for (const upstream of view.upstreams.values()) {
    if (upstream.declaration.name !== primary) {
      void follow(upstream, primary, term)
    }
  }
}
