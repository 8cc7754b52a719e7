/**
 * Decides when a draining primary is replaced. With synchronous replicas the change waits, as long as the primary may
 * be used, for an upstream that stays and receives its log: another one must not be promoted, so the draining one would
 * be stopped and promoted again.
 */
import { pause } from '../../core/time/deadline.ts'
import type { Directory } from '../directory/index.ts'
import type { Pools } from '../pools/index.ts'
import { hasSuccessorWithLog } from './acknowledged-logs.ts'
import { probeGroup } from './probe-group.ts'
import { PROBE_TIMEOUT_MS, SUCCESSOR_POLL_INTERVAL_MS } from './probe-times.ts'

/** Time within which an upstream must have received the log that the primary had, in milliseconds. */
const RECEIVED_WITHIN_MS = 500

/** Options of {@link isPlannedChangeDue}. */
interface PlannedChangeOptions {
  group: string
  primary: string
  /** Replicas that must have received a commit before it is acknowledged. */
  synchronousReplicas: number
  /** Time after which a draining upstream must get no new work, in milliseconds. */
  drainMs: number
  directory: Pick<Directory, 'get' | 'ofGroup'>
  pools: Pick<Pools, 'probe'>
}

/**
 * Whether to replace a draining primary now.
 *
 * @param options - the group and its primary
 * @returns whether a failover should start
 */
export async function isPlannedChangeDue (options: PlannedChangeOptions): Promise<boolean> {
  const { primary: name, synchronousReplicas, drainMs, directory, pools } = options
  const primary = directory.get(name)
  const drainedMs = performance.now() - (primary?.drainingSince ?? -Infinity)
  if (synchronousReplicas === 0 || primary === undefined || drainedMs >= drainMs) {
    return true
  }
  const report = await pools.probe(primary, PROBE_TIMEOUT_MS)
  if (report === undefined) {
    return true
  }
  const until = performance.now() + RECEIVED_WITHIN_MS
  for (;;) {
    const isReceived = hasSuccessorWithLog(report, await probeGroup(options, name))
    if (isReceived || performance.now() >= until) {
      return isReceived
    }
    await pause(SUCCESSOR_POLL_INTERVAL_MS)
  }
}
