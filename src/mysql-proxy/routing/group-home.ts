/** Serves the requests of one database group at one of its homes. */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { startLedgerSweeper } from '../ledger/ledger-sweeper.ts'
import { createGroupPools } from '../upstreams/group-pools.ts'
import { GroupView, type Leadership } from '../upstreams/group-view.ts'
import { createHomeReads } from './home-reads.ts'
import { checkKey, findKind } from './request-checks.ts'
import { createRetryBudget } from '../../retries/retry-budget.ts'
import { createTransactions } from './transactions.ts'
import { serveWrite } from './write-route.ts'
import type { CommitRequest, ExecuteRequest, HomeReply, HomeRequest } from './types.ts'

/** Options of {@link createGroupHome}. */
interface GroupHomeOptions {
  name: string
  group: Group
  dialer: Dialer
  logger: Logger
  failureDomain: string
  /** Seed of the choice between replicas. */
  seed: number
  /** Told when an upstream stops answering, so that keepers learn of it. */
  onEvidence?: (upstream: string, term: number) => void
}

/** Counts of one group at one home. */
export interface GroupCounts {
  readsOnReplicas: number
  readsOnPrimary: number
  writes: number
  replays: number
  retries: number
  refused: number
  transactions: number
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
  /** Takes over changed declarations. */
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
/** Time between two looks at the upstreams while requests are in progress, in milliseconds. */
const WATCH_MS = 100

/**
 * Creates the home of a group.
 *
 * @param options - the group and how to reach it
 * @returns the home
 */
export function createGroupHome (options: GroupHomeOptions): GroupHome {
  const { name, dialer, logger } = options
  const groupPools = createGroupPools(options)
  const pools = groupPools.byName
  const budget = createRetryBudget()
  const counts: GroupCounts = {
    readsOnReplicas: 0, readsOnPrimary: 0, writes: 0, replays: 0, retries: 0, refused: 0, transactions: 0
  }
  let group = options.group
  let inProgress = 0

  const onLeadership = ({ term, primary }: Leadership): void => {
    logger.log('info', 'group.leadership', { group: name, term, primary })
    groupPools.abortAllBut(primary)
  }
  const onUnreachable = (upstream: string, reason: string): void => {
    logger.log('warn', 'upstream.unreachable', { group: name, upstream, reason })
    pools.get(upstream)?.abort()
    options.onEvidence?.(upstream, view.leadership.term)
  }
  const view = new GroupView({
    name, group, dialer, statusTimeoutMs: STATUS_TIMEOUT_MS, onLeadership, onUnreachable
  })
  const transactions = createTransactions({ view, pools, greatestMs: () => group.limits.transactionMs })

  const sweeper = startLedgerSweeper({ view, pools, group: () => group })
  const watch = setInterval(() => {
    if (inProgress > 0) {
      view.refresh()
    }
  }, WATCH_MS)
  watch.unref()

  const spendRetry = (): boolean => {
    const granted = budget.spend()
    counts.retries += granted ? 1 : 0
    return granted
  }

  const reads = createHomeReads({
    name,
    view,
    pools,
    failureDomain: options.failureDomain,
    seed: options.seed,
    group: () => group,
    spendRetry,
    onServed: (fromReplica) => { counts[fromReplica ? 'readsOnReplicas' : 'readsOnPrimary']++ }
  })

  const executeWrite = async (request: ExecuteRequest, kind: Kind): Promise<HomeReply> => {
    checkKey(request.key, group)
    counts.writes++
    const reply = await serveWrite({
      view,
      pools,
      kind,
      statement: request.statement,
      service: request.service,
      key: request.key,
      deadline: new Deadline(request.deadlineMs),
      spendRetry
    })
    counts.replays += reply.replayed === true ? 1 : 0
    return reply
  }

  const commit = async (request: CommitRequest): Promise<HomeReply> => {
    checkKey(request.key, group)
    return await transactions.commit(request, new Deadline(request.deadlineMs))
  }

  const handlers: { [Type in HomeRequest['type']]: (request: Extract<HomeRequest, { type: Type }>) => Promise<HomeReply> } = {
    execute: async (request) => {
      const kind = findKind(group, request)
      return kind.access === 'read' ? await reads.execute(request) : await executeWrite(request, kind)
    },
    begin: async (request) => {
      counts.transactions++
      return await transactions.begin(request.transactionId, request.service, new Deadline(request.deadlineMs))
    },
    'transaction-execute': async (request) => await transactions.execute(
      request.transactionId, request.statement, new Deadline(request.deadlineMs)),
    commit,
    rollback: async (request) => await transactions.rollback(request.transactionId),
    settle: async (request) => await transactions.settle(request, new Deadline(request.deadlineMs)),
    explain: reads.explain
  }

  return {
    view,
    counts,
    serve: async (request) => {
      budget.earn()
      inProgress++
      try {
        const handle = handlers[request.type] as (request: HomeRequest) => Promise<HomeReply>
        return await handle(request)
      } catch (thrown) {
        counts.refused += thrown instanceof RequestError && thrown.entry === 'Overloaded' ? 1 : 0
        throw thrown
      } finally {
        inProgress--
      }
    },
    update: (changed) => {
      group = changed
      view.update(changed)
      groupPools.update(changed)
    },
    sweepLedger: sweeper.sweep,
    get busy () { return inProgress + transactions.open },
    dump: () => ({
      view: view.dump(),
      pools: Object.fromEntries([...pools].map(([upstream, pool]) => [upstream, pool.state()])),
      counts,
      openTransactions: transactions.open,
      retryBalance: Math.round(budget.balance)
    }),
    close: () => {
      clearInterval(watch)
      sweeper.close()
      transactions.close()
      groupPools.close()
      view.close()
    }
  }
}
