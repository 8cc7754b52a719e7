/**
 * Counts the requests that a home serves, whether they come from its own callers or from other proxies: those in
 * progress, those refused, and those that refill the retry budget.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { RetryBudget } from '../../retries/retry-budget.ts'
import type { GroupCounts } from './group-counts.ts'
import type { HomeReply, HomeRequest } from './types.ts'

/** Whether a served request refills the retry budget. Only requests that run statements or commit do. */
const REFILLS_BUDGET: Record<HomeRequest['type'], boolean> = {
  execute: true,
  'transaction-execute': true,
  commit: true,
  begin: false,
  rollback: false,
  settle: false,
  explain: false
}

/** Options of {@link createRequestCounter}. */
interface RequestCounterOptions {
  handle: (request: HomeRequest) => Promise<HomeReply>
  budget: Pick<RetryBudget, 'deposit'>
  counts: Pick<GroupCounts, 'refused'>
}

/** Serves and counts requests. */
interface RequestCounter {
  /**
   * Serves a request.
   *
   * @param request - the request
   * @returns the reply
   * @throws RequestError
   */
  serve: (request: HomeRequest) => Promise<HomeReply>
  readonly inProgress: number
}

/**
 * Creates the request counter of a home.
 *
 * @param options - request handler, retry budget and counters to update
 * @returns the counter
 */
export function createRequestCounter ({ handle, budget, counts }: RequestCounterOptions): RequestCounter {
  let inProgress = 0
  return {
    serve: async (request) => {
      inProgress++
      try {
        const reply = await handle(request)
        if (REFILLS_BUDGET[request.type]) {
          budget.deposit()
        }
        return reply
      } catch (thrown) {
        counts.refused += thrown instanceof RequestError && thrown.entry === 'Overloaded' ? 1 : 0
        throw thrown
      } finally {
        inProgress--
      }
    },
    get inProgress () { return inProgress }
  }
}
