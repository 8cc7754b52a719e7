/**
 * Fences upstreams with a term: from then on they neither follow nor take writes below it. Relies on the upstreams,
 * each of which accepts a term once.
 */
import { Deadline, withTimeout } from '../../core/time/deadline.ts'
import { comparePositions } from '../../positions/position.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import { logEnd } from '../upstreams/status.ts'
import type { Fenced } from './choose-successor.ts'

/** Time for the fencing of a majority, in milliseconds. */
const FENCE_TIMEOUT_MS = 500
/** Time a planned successor has to catch up, in milliseconds. */
const CATCH_UP_MS = 1000

/** A fence to be set. */
interface Fence {
  view: GroupView
  term: number
  /** Upstream that should lead, if there is one. */
  preferred?: string
}

/**
 * Fences the old primary alone and lets the preferred successor catch up with it, or the old one would be the furthest.
 *
 * @param fence - group, term and successor
 * @returns the old primary; undefined when it, or the successor, is unknown or does not answer
 */
export async function fencePrimary ({ view, term, preferred }: Fence): Promise<Fenced | undefined> {
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
    // The old primary does not answer: the election goes on with the majority, as after a failure.
    return undefined
  }
}

/**
 * Fences until a majority has accepted, and the preferred upstream too; waits a bounded time for those that are silent.
 *
 * @param fence - group, term and successor
 * @param held - the old primary when it is fenced already
 * @returns those that accepted in time
 */
export async function fenceMajority ({ view, term, preferred }: Fence, held: Fenced | undefined): Promise<Fenced[]> {
  const fenced: Fenced[] = held === undefined ? [] : [held]
  const others = [...view.upstreams.values()].filter((upstream) => upstream !== held?.view)
  const hasPreferred = (): boolean =>
    preferred === undefined || fenced.some((candidate) => candidate.view.declaration.name === preferred)
  const enough = new Promise<void>((resolve) => {
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
  await withTimeout(enough, FENCE_TIMEOUT_MS)
  return [...fenced]
}
