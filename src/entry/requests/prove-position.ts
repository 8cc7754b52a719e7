/**
 * Queries the primary of a group for the end of its log, with a command that occupies no execution slot there. Without
 * such a proof all reads go to the primary, which would overload it when all hosts start at the same time.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import { acquireLocalPrimaryExecutor, type PrimaryContext } from './primary-access.ts'
import { recordAnswer } from './record-answer.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Timeout of a query, in milliseconds; enough to open a connection and for two round trips. */
const PROOF_TIMEOUT_MS = 120
/** Request id of the query in the logs. */
const PROOF_REQUEST_ID = 'proof-of-position'

/** Services that the prover needs. */
type ProverContext = PrimaryContext & Pick<EntryContext, 'costs' | 'logger'>

/** Queries primaries for the end of their logs; concurrent calls for a group share one query. */
interface PositionProver {
  /**
   * Queries the primary of a group and records its position. Does nothing unless this host is one of its homes and
   * holds the lease on it.
   *
   * @param group - the group
   */
  prove: (group: string) => Promise<void>
}

/**
 * Creates the prover.
 *
 * @param context - services of the entry process
 * @returns the prover
 */
export function createPositionProver (context: ProverContext): PositionProver {
  const pending = new Map<string, Promise<void>>()

  const queryLogEnd = async (group: string): Promise<void> => {
    const { leadership, directory, homes, logger } = context
    const primaryLease = leadership.leaseOf(group)
    const target = primaryLease === undefined ? undefined : directory.get(primaryLease.upstream)
    // During a failover the query would only delay the reads that wait for its result.
    if (target === undefined || !homes.isHome(target) || leadership.expectedRecoveryMs(group) > 0) {
      return
    }
    const scope: RequestScope = {
      requestId: PROOF_REQUEST_ID,
      group,
      organisation: undefined,
      version: 0,
      priority: 0,
      costMs: 0,
      values: new Map(),
      deadline: new Deadline(PROOF_TIMEOUT_MS),
      softDeadline: performance.now() + PROOF_TIMEOUT_MS,
      attempts: 0,
      triedHomes: new Set()
    }
    try {
      const executor = await acquireLocalPrimaryExecutor(context, scope, target, PROOF_TIMEOUT_MS)
      if ('unavailableReason' in executor) {
        return
      }
      recordAnswer(context, scope, await executor.queryLogEnd(scope))
    } catch (thrown) {
      logger.log('info', 'freshness.not-proven', { group, upstream: target.upstream, reason: describeThrown(thrown) })
    }
  }
  return {
    prove: async (group) => {
      const proof = pending.get(group) ?? queryLogEnd(group).finally(() => pending.delete(group))
      pending.set(group, proof)
      await proof
    }
  }
}
