/**
 * Reports upstreams that failed a request on this host to the keepers of their group, which use the reports as evidence
 * for a failover.
 */
import type { Peers } from '../../peers/index.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import { KEEPERS_PER_GROUP } from '../failover/types.ts'
import type { Membership } from '../membership/index.ts'

/** Timeout of a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 500

/** Options of {@link createEvidenceReports}. */
interface EvidenceReportsOptions {
  /** Name of this host. */
  host: string
  /** Failure domain of this host. */
  failureDomain: string
  membership: Membership
  peers: Peers
}

/**
 * Creates a function that reports a failed upstream to the keepers of its group.
 *
 * @param options - this host, its membership view and its peer links
 * @returns reports an upstream of a group that failed in a term
 */
export function createEvidenceReports (
  { host, failureDomain, membership, peers }: EvidenceReportsOptions
): (group: string, upstream: string, term: number) => void {
  return (group, upstream, term) => {
    const evidence = { group, upstream, term, failureDomain, host }
    placeGroup(group, membership.available('keeper'), KEEPERS_PER_GROUP).forEach((keeper) => {
      // A lost report isn't resent: keepers also probe upstreams, and the next failed request reports again.
      peers.request(keeper, 'evidence', evidence, REPORT_TIMEOUT_MS).catch(() => {})
    })
  }
}
