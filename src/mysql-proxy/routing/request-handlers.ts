/** Dispatches the requests of a group to the handlers of their types. */
import type { Group, Kind } from '../../core/config/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import type { ConnectionPool } from '../upstreams/connection-pool.ts'
import type { GroupView } from '../upstreams/group-view.ts'
import type { GroupCounts } from './group-counts.ts'
import type { HomeReads } from './home-reads.ts'
import { validateKey, findKind } from './request-checks.ts'
import type { Transactions } from './transactions.ts'
import type { ExecuteRequest, HomeReply, HomeRequest } from './types.ts'
import { serveWrite } from './write-route.ts'

/** Options of {@link createRequestHandlers}. */
interface RequestHandlersOptions {
  view: GroupView
  pools: Map<string, ConnectionPool>
  /** Returns the current declaration of the group. */
  group: () => Group
  counts: GroupCounts
  reads: HomeReads
  transactions: Transactions
  /** Takes a retry from the budget; returns false when the budget is exhausted. */
  spendRetry: () => boolean
}

/** Handlers by request type. */
type RequestHandlers = {
  [Type in HomeRequest['type']]: (request: Extract<HomeRequest, { type: Type }>) => Promise<HomeReply>
}

/**
 * Creates the request handlers of a group.
 *
 * @param options - the group, its view, pools, reads and transactions
 * @returns a function that passes a request to the handler of its type
 */
export function createRequestHandlers (options: RequestHandlersOptions): (request: HomeRequest) => Promise<HomeReply> {
  const { group, counts, reads, transactions } = options

  const handlers: RequestHandlers = {
    execute: async (request) => {
      const kind = findKind(group(), request)
      return kind.access === 'read' ? await reads.execute(request) : await executeWrite(options, request, kind)
    },
    begin: async (request) => {
      counts.transactions++
      return await transactions.begin(request.transactionId, request.service, new Deadline(request.deadlineMs))
    },
    'transaction-execute': async (request) => await transactions.execute(
      request.transactionId, request.statement, new Deadline(request.deadlineMs)),
    commit: async (request) => {
      validateKey(request.key, group())
      return await transactions.commit(request, new Deadline(request.deadlineMs))
    },
    rollback: async (request) => await transactions.rollback(request.transactionId),
    settle: async (request) => await transactions.settle(request, new Deadline(request.deadlineMs)),
    explain: reads.explain
  }

  return async (request) => {
    const handle = handlers[request.type] as (request: HomeRequest) => Promise<HomeReply>
    return await handle(request)
  }
}

async function executeWrite (
  { view, pools, group, counts, spendRetry }: RequestHandlersOptions, request: ExecuteRequest, kind: Kind
): Promise<HomeReply> {
  const { statement, service, key, deadlineMs } = request
  validateKey(key, group())
  counts.writes++
  const deadline = new Deadline(deadlineMs)
  const reply = await serveWrite({ view, pools, kind, statement, service, key, deadline, spendRetry })
  counts.replays += reply.replayed === true ? 1 : 0
  return reply
}
