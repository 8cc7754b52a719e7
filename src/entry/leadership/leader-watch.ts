/**
 * Finds which of the upstreams that were ordered to lead does so: by their own reports, or by a claim in the directory,
 * which a promoter sees that cannot reach the upstream. A claim carries no term, so it never outweighs a report.
 */
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import { findLeader, type Candidate } from './choose-successor.ts'
import type { PendingOrders } from './pending-orders.ts'
import { PROBE_TIMEOUT_MS } from './probe-times.ts'

/** Options of {@link createLeaderWatch}. */
interface LeaderWatchOptions {
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'probe'>
  group: string
  orders: Pick<PendingOrders, 'ordered'>
  oldPrimary: string
  /** Newest term of the closed epoch. */
  closedTerm: number
}

/** What the ordered upstreams report and claim. */
interface LeaderSighting {
  leader: Candidate | undefined
  /** Ordered upstreams that do not report, so that one of them may lead unseen. */
  silent: string[]
}

/** Watches the upstreams that were ordered to lead. */
export interface LeaderWatch {
  /**
   * Looks at the ordered upstreams.
   *
   * @param also - the upstream that was ordered last or leads, if any
   * @returns the leader, and the upstreams that do not report
   */
  look: (also?: KnownUpstream) => Promise<LeaderSighting>
}

/**
 * Creates the watch. Only a claim made after this call can make an upstream the leader. Without claims, a promoter that
 * is cut off from the upstream it has promoted would promote another one.
 *
 * @param options - the upstreams and the orders
 * @returns the watch
 */
export function createLeaderWatch (options: LeaderWatchOptions): LeaderWatch {
  const { directory, pools, group, orders, oldPrimary, closedTerm } = options
  const claimsPrimary = (name: string): boolean => directory.get(name)?.claimsPrimary === true
  const claimedBefore = new Set(directory.ofGroup(group).map(({ upstream }) => upstream).filter(claimsPrimary))

  const probe = async (upstream: KnownUpstream): Promise<Candidate[]> => {
    const report = await pools.probe(upstream, PROBE_TIMEOUT_MS)
    return report === undefined ? [] : [{ upstream, report }]
  }
  /** Returns the newest leader by report; the old primary may be one only if it leads anew, or was ordered last. */
  const leadByReport = (reports: Candidate[], last?: string): Candidate | undefined => {
    const leader = findLeader(reports.filter(({ upstream }) => upstream.upstream !== oldPrimary), closedTerm)
    return leader === undefined
      ? reports.find(({ upstream, report }) => upstream.upstream === last && report.role === 'primary')
      : findLeader(reports, leader.report.term) ?? leader
  }
  const leadByClaim = (silent: string[]): Candidate | undefined => {
    const [first, ...others] = silent.filter((name) => name !== oldPrimary && claimsPrimary(name))
    const isClear = first !== undefined && others.length === 0 && !claimedBefore.has(first)
    const upstream = isClear ? directory.get(first) : undefined
    // A claim carries no term; the term is at least the one after the closed term.
    const term = closedTerm + 1
    return upstream && { upstream, report: { role: 'primary', term, received: { term, position: 0 } } }
  }
  return {
    look: async (also) => {
      const names = new Set([...orders.ordered(), ...also === undefined ? [] : [also.upstream]])
      const upstreams = [...names].flatMap((name) => directory.get(name) ?? (name === also?.upstream ? [also] : []))
      const reports = (await Promise.all(upstreams.map(probe))).flat()
      const silent = [...names].filter((name) => !reports.some(({ upstream }) => upstream.upstream === name))
      return { leader: leadByReport(reports, also?.upstream) ?? leadByClaim(silent), silent }
    }
  }
}
