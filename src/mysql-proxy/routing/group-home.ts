/**
 * One database group at one of its homes. Owns the group's view, its connection pools, its open transactions and the
 * budget of its retries, and wires them to the handlers of requests.
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
  /** Seed of the choice between replicas. */
  seed: number
  /** Called when an upstream stops answering, so that keepers learn of it. */
  onEvidence: (upstream: string, term: number) => void
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
  /** Replaces the declarations. */
  update: (group: Group) => void
  /** Deletes a batch of request keys that need not be remembered; returns how many. */
  sweepLedger: () => Promise<number>
  /** Requests and transactions in progress. */
  readonly busy: number
  dump: () => unknown
  close: () => void
}

/** Time a status question may take, in milliseconds. */
const STATUS_TIMEOUT_MS = 250
/** Time between two probes of the upstreams while requests are in progress, in milliseconds. */
const WATCH_MS = 100

/**
 * Creates the home of a group.
 *
 * @param options - the group and how to reach it
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
  const transactions = createTransactions({ view, pools, greatestMs: () => state.group.limits.transactionMs })
  const sweeper = startLedgerSweeper({ view, pools, group })
  const spendRetry = (): boolean => {
    const isGranted = budget.spend()
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
  const stopWatch = refreshWhile(view, () => requests.inProgress > 0)

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
    get busy () { return requests.inProgress + transactions.open },
    dump: () => ({
      view: view.dump(),
      pools: Object.fromEntries([...pools].map(([upstream, pool]) => [upstream, pool.state()])),
      counts,
      openTransactions: transactions.open,
      retryBalance: Math.round(budget.balance)
    }),
    close: () => {
      stopWatch()
      sweeper.close()
      transactions.close()
      groupPools.close()
      view.close()
    }
  }
}

/** Connections to an upstream that stops answering or leading are broken, so that no request waits for it. */
function createHomeView (
  { name, group, dialer, logger, onEvidence }: GroupHomeOptions, pools: ReturnType<typeof createGroupPools>
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
      onEvidence(upstream, view.leadership.term)
    }
  })
  return view
}

function refreshWhile (view: GroupView, isNeeded: () => boolean): () => void {
  const timer = setInterval(() => {
    if (isNeeded()) {
      view.refreshInBackground()
    }
  }, WATCH_MS)
  timer.unref()
  return () => clearInterval(timer)
}
