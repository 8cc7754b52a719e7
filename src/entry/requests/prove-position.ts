/**
 * Asks a group's primary where its log ends, with a statement that takes none of its slots. After all hosts have
 * started at once no host has a proof, and reads that all go to the primary for one would overload it.
 */
import { describeThrown } from '../../core/errors/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import { localExecutorAtPrimary, type PrimaryContext } from './primary-access.ts'
import { recordAnswer } from './record-answer.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Time that it may take, in milliseconds: two round trips, and opening a connection. */
const PROVE_MS = 120
/** Id under which it stands in the logs. */
const PROOF_ID = 'proof-of-position'

/** What the prover needs from the rest of the process. */
type ProverContext = PrimaryContext & Pick<EntryContext, 'costs' | 'logger'>

/** Asks primaries where their logs end; those who need the same at the same time share the question. */
interface PositionProver {
  /**
   * Asks a group's primary, if this host is one of its homes and may work there.
   *
   * @param group - the group
   */
  prove: (group: string) => Promise<void>
}

/**
 * Creates the prover.
 *
 * @param context - the rest of the process
 * @returns the prover
 */
export function createPositionProver (context: ProverContext): PositionProver {
  const proving = new Map<string, Promise<void>>()

  const ask = async (group: string): Promise<void> => {
    const { leadership, directory, homes, logger } = context
    const primaryLease = leadership.leaseOf(group)
    const known = primaryLease === undefined ? undefined : directory.get(primaryLease.upstream)
    // While a primary is lost, the question would only hold up the reads that wait for it.
    if (known === undefined || !homes.isHome(known) || leadership.expectedRecoveryMs(group) > 0) {
      return
    }
    const scope: RequestScope = {
      requestId: PROOF_ID,
      group,
      organisation: undefined,
      version: 0,
      priority: 0,
      costMs: 0,
      values: new Map(),
      deadline: new Deadline(PROVE_MS),
      inTimeUntil: performance.now() + PROVE_MS,
      attempts: 0,
      triedHomes: new Set()
    }
    try {
      const executor = await localExecutorAtPrimary(context, scope, known, PROVE_MS)
      if ('notYet' in executor) {
        return
      }
      recordAnswer(context, scope, await executor.proveLead(scope))
    } catch (thrown) {
      logger.log('info', 'freshness.not-proven', { group, upstream: known.upstream, reason: describeThrown(thrown) })
    }
  }
  return {
    prove: async (group) => {
      const question = proving.get(group) ?? ask(group).finally(() => proving.delete(group))
      proving.set(group, question)
      await question
    }
  }
}
