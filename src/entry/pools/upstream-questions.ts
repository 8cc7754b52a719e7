/**
 * Questions of control to upstreams: status and demotion, each on a connection of its own, which the caps leave room
 * for (see connection-limits.ts). The outcome counts for the upstream's health.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { faultOf } from './connection-opener.ts'
import type { UpstreamConnection, UpstreamPort, UpstreamReport } from '../ports/index.ts'
import type { UpstreamHealth } from './upstream-health.ts'

/** Options of {@link createUpstreamQuestions}. */
interface UpstreamQuestionsOptions {
  port: UpstreamPort
  logger: Logger
  healthOf: (upstream: KnownUpstream) => UpstreamHealth
}

/** Questions to upstreams. */
export interface UpstreamQuestions {
  /**
   * Asks an upstream for its state; those who ask at the same time share the answer.
   *
   * @param upstream - the upstream
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns its report; undefined when it gave none in time
   */
  probe: (upstream: KnownUpstream, timeoutMs: number) => Promise<UpstreamReport | undefined>
  /** Makes a primary a replica; undefined when it gave no answer in time. */
  demote: (upstream: KnownUpstream, term: number, timeoutMs: number) => Promise<UpstreamReport | undefined>
}

/**
 * Creates the questions.
 *
 * @param options - the port, and the health that is updated
 * @returns the questions
 */
export function createUpstreamQuestions (options: UpstreamQuestionsOptions): UpstreamQuestions {
  /** Probes in progress, by upstream. */
  const probing = new Map<string, Promise<UpstreamReport | undefined>>()
  return {
    probe: async (upstream, timeoutMs) => {
      const name = upstream.upstream
      const asking = probing.get(name) ?? ask(options, upstream, timeoutMs, async (link) => await link.status())
      probing.set(name, asking)
      return await asking.finally(() => probing.delete(name))
    },
    demote: async (upstream, term, timeoutMs) =>
      await ask(options, upstream, timeoutMs, async (link) => await link.demote(term))
  }
}

async function ask (
  { port, logger, healthOf }: UpstreamQuestionsOptions, known: KnownUpstream, timeoutMs: number,
  question: (connection: UpstreamConnection) => Promise<UpstreamReport>
): Promise<UpstreamReport | undefined> {
  const health = healthOf(known)
  const { group, upstream, endpoint } = known
  try {
    const connection = await port.open({ group, upstream, endpoint }, { organisation: '', timeoutMs })
    try {
      const report = await withTimeout(question(connection), timeoutMs)
      if (report === TIMED_OUT) {
        health.failed('silent')
        return undefined
      }
      health.answered()
      return report
    } finally {
      connection.close()
    }
  } catch (thrown) {
    logger.log('info', 'upstream.no-report', { upstream, group, reason: describeThrown(thrown) })
    // One that has no room for the question is there: a primary must not be replaced for having much to do.
    faultOf(thrown) === undefined ? health.answered() : health.failed('refused')
    return undefined
  }
}
