/**
 * Counts the requests that a home serves, its own callers' and those that other proxies pass on alike: how many are in
 * progress, how many were refused, and which of them refill the retry budget. Owns the number in progress.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { RetryBudget } from '../../retries/retry-budget.ts'
import type { GroupCounts } from './group-counts.ts'
import type { HomeReply, HomeRequest } from './types.ts'

/** Whether a request that was served refills the budget: the others take no room of an upstream, or only end work. */
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

/** Serves requests and counts them. */
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
 * Creates the counter of a home; nothing is in progress.
 *
 * @param options - what handles the requests, and what is counted
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
