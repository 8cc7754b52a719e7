/**
 * Reports upstreams that failed a request here to the keepers of their group, as observations of this host's failure
 * domain. Owns nothing; relies on membership for the keepers.
 */
import type { Peers } from '../../peers/index.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import { KEEPERS_PER_GROUP } from '../failover/types.ts'
import type { Membership } from '../membership/index.ts'

/** Time for the answer to a report, in milliseconds. */
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
 * Creates the reports of a process.
 *
 * @param options - this host, and the way to the keepers
 * @returns reports an upstream of a group that failed in a term
 */
export function createEvidenceReports (
  { host, failureDomain, membership, peers }: EvidenceReportsOptions
): (group: string, upstream: string, term: number) => void {
  return (group, upstream, term) => {
    const evidence = { group, upstream, term, failureDomain, host }
    placeGroup(group, membership.present('keeper'), KEEPERS_PER_GROUP).forEach((keeper) => {
      // A lost report is not repeated: keepers probe upstreams themselves, and the next failed request reports again.
      peers.request(keeper, 'evidence', evidence, REPORT_TIMEOUT_MS).catch(() => {})
    })
  }
}
