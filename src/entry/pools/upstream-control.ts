/**
 * Control requests to upstreams: status and demotion. Each uses a connection of its own, for which connection-limits.ts
 * leaves a reserve, and updates the health of the upstream.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { faultFromError } from './connection-opener.ts'
import type { UpstreamConnection, UpstreamPort, UpstreamReport } from '../ports/index.ts'
import type { UpstreamHealth } from './upstream-health.ts'

/** Options of {@link createUpstreamControl}. */
interface UpstreamControlOptions {
  port: UpstreamPort
  logger: Logger
  healthOf: (upstream: KnownUpstream) => UpstreamHealth
}

/** Control requests to upstreams. */
export interface UpstreamControl {
  /**
   * Queries the status of an upstream; concurrent callers share one request.
   *
   * @param upstream - the upstream
   * @param timeoutMs - timeout, in milliseconds
   * @returns its report; undefined on failure or timeout
   */
  probe: (upstream: KnownUpstream, timeoutMs: number) => Promise<UpstreamReport | undefined>
  /** Demotes a primary to a replica and returns its report; undefined on failure or timeout. */
  demote: (upstream: KnownUpstream, term: number, timeoutMs: number) => Promise<UpstreamReport | undefined>
}

/**
 * Creates the client for control requests.
 *
 * @param options - the port, and the health records to update
 * @returns the client
 */
export function createUpstreamControl (options: UpstreamControlOptions): UpstreamControl {
  /** Pending status requests, by upstream. */
  const pendingProbes = new Map<string, Promise<UpstreamReport | undefined>>()
  return {
    probe: async (upstream, timeoutMs) => {
      const name = upstream.upstream
      const pending = pendingProbes.get(name) ??
        runControlRequest(options, upstream, timeoutMs, async (connection) => await connection.status())
      pendingProbes.set(name, pending)
      return await pending.finally(() => pendingProbes.delete(name))
    },
    demote: async (upstream, term, timeoutMs) =>
      await runControlRequest(options, upstream, timeoutMs, async (connection) => await connection.demote(term))
  }
}

async function runControlRequest (
  { port, logger, healthOf }: UpstreamControlOptions, known: KnownUpstream, timeoutMs: number,
  send: (connection: UpstreamConnection) => Promise<UpstreamReport>
): Promise<UpstreamReport | undefined> {
  const health = healthOf(known)
  const { group, upstream, endpoint } = known
  try {
    const connection = await port.open({ group, upstream, endpoint }, { organisation: '', timeoutMs })
    try {
      const report = await withTimeout(send(connection), timeoutMs)
      if (report === TIMED_OUT) {
        health.recordFailure('silent')
        return undefined
      }
      health.recordAnswer()
      return report
    } finally {
      connection.close()
    }
  } catch (thrown) {
    logger.log('info', 'upstream.no-report', { upstream, group, reason: describeThrown(thrown) })
    // An upstream without capacity is alive: a primary must not be replaced because it is overloaded.
    faultFromError(thrown) === undefined ? health.recordAnswer() : health.recordFailure('refused')
    return undefined
  }
}
