/**
 * One database group at one of its homes (proxies that connect to the group's upstreams and run its requests). Owns the
 * group's view, connection pools, open transactions and retry budget, and passes them to the request handlers.
 */
import type { Group } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { startLedgerSweeper } from '../ledger/ledger-sweeper.ts'
import { createGroupPools } from '../upstreams/group-pools.ts'
import { GroupView, type Leadership } from '../upstreams/group-view.ts'
import { createRetryBudget } from '../../retries/retry-budget.ts'
import { createGroupCounts, type GroupCounts } from './group-counts.ts'
import { createHomeReads } from './home-reads.ts'
import { createRequestCounter } from './request-counter.ts'
import { createRequestHandlers } from './request-handlers.ts'
import { createTransactions } from './transactions.ts'
import type { HomeReply, HomeRequest } from './types.ts'

/** Options of {@link createGroupHome}. */
interface GroupHomeOptions {
  name: string
  group: Group
  dialer: Dialer
  logger: Logger
  failureDomain: string
  /** Seed for the random choice between replicas. */
  seed: number
  /** Called when an upstream becomes unreachable, to report it to the keepers. */
  onUpstreamFailure: (upstream: string, term: number) => void
}

/** One group at one of its homes. */
export interface GroupHome {
  readonly view: GroupView
  readonly counts: GroupCounts
  /**
   * Serves a request.
   *
   * @param request - the request
   * @returns the reply
   * @throws RequestError
   */
  serve: (request: HomeRequest) => Promise<HomeReply>
  /** Applies a changed declaration of the group. */
  update: (group: Group) => void
  /** Deletes a batch of expired request keys; returns the number deleted. */
  sweepLedger: () => Promise<number>
  /** Number of requests in progress and open transactions. */
  readonly activeCount: number
  dump: () => unknown
  close: () => void
}

/** Timeout of a status query to an upstream, in milliseconds. */
const STATUS_TIMEOUT_MS = 250
/** Interval of status queries to the upstreams while requests are in progress, in milliseconds. */
const REFRESH_INTERVAL_MS = 100

/**
 * Creates the home of a group.
 *
 * @param options - the group, its declaration and how to connect to its upstreams
 * @returns the home
 */
export function createGroupHome (options: GroupHomeOptions): GroupHome {
  const { name, logger } = options
  const state = { group: options.group }
  const group = (): Group => state.group
  const counts = createGroupCounts()
  const budget = createRetryBudget()
  const groupPools = createGroupPools(options)
  const pools = groupPools.byName
  const view = createHomeView(options, groupPools)
  const transactions = createTransactions({ view, pools, maximumOpenMs: () => state.group.limits.transactionMs })
  const sweeper = startLedgerSweeper({ view, pools, group })
  const spendRetry = (): boolean => {
    const isGranted = budget.tryWithdraw()
    counts.retries += isGranted ? 1 : 0
    if (!isGranted) {
      logger.log('warn', 'retry.refused', { group: name, balance: budget.balance.toFixed(1) })
    }
    return isGranted
  }
  const { failureDomain, seed } = options
  const onServed = (fromReplica: boolean): void => { counts[fromReplica ? 'readsOnReplicas' : 'readsOnPrimary']++ }
  const reads = createHomeReads({ name, view, pools, failureDomain, seed, group, spendRetry, onServed })
  const handle = createRequestHandlers({ view, pools, group, counts, reads, transactions, spendRetry })
  const requests = createRequestCounter({ handle, budget, counts })
  const stopRefresh = refreshWhile(view, () => requests.inProgress > 0)

  return {
    view,
    counts,
    serve: requests.serve,
    update: (changed) => {
      state.group = changed
      view.update(changed)
      groupPools.update(changed)
    },
    sweepLedger: sweeper.sweep,
    get activeCount () { return requests.inProgress + transactions.openCount },
    dump: () => ({
      view: view.dump(),
      pools: Object.fromEntries([...pools].map(([upstream, pool]) => [upstream, pool.state()])),
      counts,
      openTransactions: transactions.openCount,
      retryBalance: Math.round(budget.balance)
    }),
    close: () => {
      stopRefresh()
      sweeper.close()
      transactions.close()
      groupPools.close()
      view.close()
    }
  }
}

/** Creates the view. Aborts connections to upstreams that are unreachable or no longer primary. */
function createHomeView (
  { name, group, dialer, logger, onUpstreamFailure }: GroupHomeOptions, pools: ReturnType<typeof createGroupPools>
): GroupView {
  const view: GroupView = new GroupView({
    name,
    group,
    dialer,
    statusTimeoutMs: STATUS_TIMEOUT_MS,
    onLeadership: ({ term, primary }: Leadership) => {
      logger.log('info', 'group.leadership', { group: name, term, primary })
      pools.abortAllExcept(primary)
    },
    onUnreachable: (upstream, reason) => {
      logger.log('warn', 'upstream.unreachable', { group: name, upstream, reason })
      pools.byName.get(upstream)?.abort()
      onUpstreamFailure(upstream, view.leadership.term)
    }
  })
  return view
}

function refreshWhile (view: GroupView, isNeeded: () => boolean): () => void {
  const timer = setInterval(() => {
    if (isNeeded()) {
      view.refreshInBackground()
    }
  }, REFRESH_INTERVAL_MS)
  timer.unref()
  return () => clearInterval(timer)
}
