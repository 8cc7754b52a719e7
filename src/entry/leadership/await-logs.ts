/**
 * Waits until it is known which upstreams of a group with synchronous replicas have every acknowledged commit. The
 * upstreams are asked after all hosts have stopped, since a commit may be acknowledged until then.
 */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { formatPosition, type LogPosition } from '../../positions/position.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { UpstreamReport } from '../ports/index.ts'
import type { GroupRow } from '../registry/index.ts'
import { findAcknowledgedEnd, hasLogUpTo, hasSuccessorWithLog } from './acknowledged-logs.ts'
import type { Candidate } from './choose-successor.ts'
import { isSameEndpoint, type FormerUpstreams } from './former-upstreams.ts'
import { isReborn } from './group-need.ts'
import { probeGroup, type ProbeOptions } from './probe-group.ts'
import { SUCCESSOR_POLL_INTERVAL_MS } from './probe-times.ts'
import type { FailoverReason } from './types.ts'

/**
 * Time for which a host waits for silent replicas, in milliseconds. Afterwards it leaves the group to other hosts,
 * which may reach them.
 */
const SILENT_REPLICA_WAIT_MS = 3000

/** Options of {@link awaitLogs}. */
interface LogsOptions extends ProbeOptions {
  directory: Pick<Directory, 'get' | 'ofGroup'>
  reason: FailoverReason
  /** Row of the group, whose primary is the old one. */
  row: GroupRow
  /** Replicas that must have received a commit before it is acknowledged; at least 1. */
  synchronousReplicas: number
  former: FormerUpstreams
  /** Report of the old primary if it has stepped down. */
  demoted: UpstreamReport | undefined
  /** Time for an upstream that stays to receive the whole log of a demoted primary, in milliseconds. */
  catchUpMs: number
  logger: Logger
}

/** Upstreams that may be promoted. */
export interface Successors {
  candidates: Candidate[]
  /** Whether an upstream that reports this may lead; any may by default. */
  mayLead?: (report: UpstreamReport) => boolean
}

/**
 * Probes the upstreams until enough of them have answered.
 *
 * @param options - the group, and how long to wait
 * @returns the upstreams that answered, and which of them may lead; none if too many are silent
 */
export async function awaitLogs (options: LogsOptions): Promise<Successors> {
  const { group, reason, row: { primary: oldPrimary }, synchronousReplicas, demoted, catchUpMs, logger } = options
  const startedAt = performance.now()
  // Probes of an unreachable primary would only time out; they are needed if replicas are silent.
  let except = reason === 'unreachable' ? oldPrimary : undefined
  for (;;) {
    const candidates = await probeGroup(options, except)
    except = undefined
    const silent = silentReplicas(options, candidates)
    const oldPrimaryEnd = endOfOldPrimary(options, candidates)
    const end = findAcknowledgedEnd({ candidates, silent, oldPrimaryEnd }, { oldPrimary, synchronousReplicas })
    const waitedMs = performance.now() - startedAt
    const isCatchingUp = demoted !== undefined && waitedMs < catchUpMs &&
      !hasSuccessorWithLog(demoted, candidates.filter(({ upstream }) => upstream.upstream !== oldPrimary))
    if (end !== undefined && !isCatchingUp) {
      logger.log('info', 'failover.acknowledged-end', {
        group, position: formatPosition(end), silent: silent.join(' '), waitedMs: Math.round(waitedMs)
      })
      return { candidates, mayLead: hasLogUpTo(end) }
    }
    if (waitedMs >= SILENT_REPLICA_WAIT_MS) {
      logger.log('warn', 'failover.replicas-silent', { group, silent: silent.join(' '), synchronousReplicas })
      return { candidates, mayLead: hasLogUpTo(end) }
    }
    await pause(SUCCESSOR_POLL_INTERVAL_MS)
  }
}

/** Returns the replicas that did not answer and may have commits, and those that have left recently. */
function silentReplicas (
  { group, directory, former, row }: LogsOptions, answered: Candidate[]
): string[] {
  const isReplaced = (replica: KnownUpstream): boolean =>
    answered.some(({ upstream }) => isSameEndpoint(upstream, replica) && upstream.upstream !== replica.upstream)
  const names = new Set([row.primary, ...answered.map(({ upstream }) => upstream.upstream)])
  return [...directory.ofGroup(group), ...former.ofGroup(group)]
    .filter((replica) => !names.has(replica.upstream) && !isReplaced(replica))
    .map(({ upstream }) => upstream)
}

/** Returns the end of the old primary's log, which has every commit, unless it has started again without its log. */
function endOfOldPrimary (
  { directory, row, demoted }: LogsOptions, candidates: Candidate[]
): LogPosition | undefined {
  const known = directory.get(row.primary)
  const report = candidates.find(({ upstream }) => upstream.upstream === row.primary)?.report ?? demoted
  // The reason of the failover does not tell: another host may have begun it.
  return known !== undefined && isReborn(known, row) ? undefined : report?.received
}
