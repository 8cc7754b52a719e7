/**
 * Remembers upstreams that have left the directory. A crashed one may return with commits that no other one has, so a
 * failover of a group with synchronous replicas counts it as silent for a while.
 */
import { formatEndpoint } from '../../core/wire/dialer.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'

/** Time for which an upstream is remembered, in milliseconds; longer than a crashed one takes to restart. */
const REMEMBERED_MS = 10_000

/** Upstreams that have left. */
export interface FormerUpstreams {
  /** Returns those of a group that have left recently, and whose endpoint no other upstream has taken over. */
  ofGroup: (group: string) => KnownUpstream[]
}

/**
 * Starts to remember upstreams.
 *
 * @param directory - tells of upstreams that leave and appear
 * @returns those that have left
 */
export function createFormerUpstreams (directory: Pick<Directory, 'onChange'>): FormerUpstreams {
  const former = new Map<string, { upstream: KnownUpstream, until: number }>()
  const forget = (isForgotten: (known: { upstream: KnownUpstream, until: number }) => boolean): void =>
    [...former].forEach(([name, known]) => isForgotten(known) && former.delete(name))

  directory.onChange(({ upstream, change }) => {
    if (change === 'gone') {
      former.set(upstream.upstream, { upstream, until: performance.now() + REMEMBERED_MS })
    } else if (change === 'appeared') {
      // The log of an upstream that has ended passes to the one at its endpoint.
      forget((known) => isSameEndpoint(known.upstream, upstream))
      former.delete(upstream.upstream)
    }
  })
  return {
    ofGroup: (group) => {
      forget(({ until }) => performance.now() >= until)
      return [...former.values()].map(({ upstream }) => upstream).filter((upstream) => upstream.group === group)
    }
  }
}

/**
 * Whether two upstreams have the same endpoint, one after the other.
 *
 * @param left - one upstream
 * @param right - the other upstream
 * @returns whether they have
 */
export function isSameEndpoint (left: KnownUpstream, right: KnownUpstream): boolean {
  return formatEndpoint(left.endpoint) === formatEndpoint(right.endpoint)
}
