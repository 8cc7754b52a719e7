/** Asks the upstreams of a group for their role and the end of their log. */
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import type { Candidate } from './choose-successor.ts'
import { PROBE_TIMEOUT_MS } from './probe-times.ts'

/** The group, and the access to its upstreams. */
export interface ProbeOptions {
  group: string
  directory: Pick<Directory, 'ofGroup'>
  pools: Pick<Pools, 'probe'>
}

/**
 * Probes the upstreams of a group.
 *
 * @param options - the group
 * @param except - name of an upstream that is left out
 * @returns the upstreams that answered, and their reports
 */
export async function probeGroup ({ group, directory, pools }: ProbeOptions, except?: string): Promise<Candidate[]> {
  const probed = directory.ofGroup(group).filter(({ upstream }) => upstream !== except)
  const reports = await Promise.all(probed.map(async (upstream) => {
    const report = await pools.probe(upstream, PROBE_TIMEOUT_MS)
    return report === undefined ? [] : [{ upstream, report }]
  }))
  return reports.flat()
}
