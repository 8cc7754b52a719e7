/** Reads: where they go, and what is tried when an upstream does not serve them. */
import { RequestError } from '../core/errors/index.ts'
import { pause } from '../core/time/deadline.ts'
import type { ConnectionLease } from '../pools/index.ts'
import type { Freshness, StatementAnswer } from '../ports/index.ts'
import { formatPosition, type LogPosition } from '../upstreams/position.ts'
import { chooseForRead } from './choose-upstream.ts'
import { NOT_RUN_PAUSE_MS, READ_ATTEMPTS, WAIT_SHARE } from './consts.ts'
import { acquire, holds, leasePrimary, type PrimaryLease } from './primary-access.ts'
import { runWork, type RunOptions, type TimedAnswer } from './run-statement.ts'
import type { ChosenUpstream, DataWork, EntryContext, RequestScope } from './types.ts'

/**
 * Where a read may run: at the primary only, or wherever the log has reached a position.
 */
export type ReadPlace = { type: 'primary' } | { type: 'after', position: LogPosition }

/**
 * Says where a read may run; asks peers for a proof of freshness when this host has none.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param freshness - what the route asks for
 * @param arrivedAt - when the read arrived, on the steady clock
 * @param sessionFloor - what the session itself has written
 * @returns the place
 */
export async function placeRead (
  context: EntryContext, group: string, freshness: Freshness, arrivedAt: number, sessionFloor?: LogPosition
): Promise<ReadPlace> {
  if (freshness.type === 'primary') {
    return { type: 'primary' }
  }
  const floor = freshness.type === 'session' ? sessionFloor : undefined
  const since = arrivedAt - freshness.maximumAgeMs
  const proofs = context.freshness.of(group)
  const known = proofs.floorSince(since, floor)
  const position = known ?? (await context.freshness.fetch(group, since) ? proofs.floorSince(since, floor) : undefined)
  return position === undefined ? { type: 'primary' } : { type: 'after', position }
}

/** A lease on an upstream that serves a read; `right` is there when it is the primary by right. */
export interface ReadLease extends ChosenUpstream {
  lease: ConnectionLease
  after?: LogPosition
  right?: PrimaryLease['right']
}

/**
 * Takes a connection on which a read may run.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param place - where it may run
 * @param tried - upstreams that have been tried
 * @returns the connection
 * @throws RequestError with verdict `not-run`
 */
export async function leaseForRead (
  context: EntryContext, scope: RequestScope, place: ReadPlace, tried: Set<string>
): Promise<ReadLease> {
  if (place.type === 'primary') {
    return await leasePrimary(context, scope)
  }
  for (;;) {
    const chosen = chooseForRead(context, scope.group, tried)
    if (chosen === undefined) {
      return await leasePrimary(context, scope)
    }
    scope.attempts++
    try {
      const waitMs = Math.max(1, scope.deadline.leftMs * WAIT_SHARE / 2)
      const lease = await acquire(context, scope, chosen.used, waitMs)
      const right = context.leadership.of(scope.group)
      const isPrimary = right?.upstream === chosen.known.upstream
      return { ...chosen, lease, after: place.position, right: isPrimary ? right : undefined }
    } catch (thrown) {
      scope.deadline.check('not-run', 'looking for an upstream')
      context.logger.log('info', 'read.upstream-unavailable', {
        id: scope.requestId, group: scope.group, upstream: chosen.known.upstream, reason: (thrown as Error).message
      })
      tried.add(chosen.known.upstream)
    }
  }
}

/**
 * Options for running at an upstream: a silent one is asked whether it is there, and a read leaves one that is not.
 *
 * @param context - the rest of the process
 * @param chosen - the upstream and the connection
 * @param scope - the request
 * @param mayLeave - whether the statement may be given up while it may be running
 * @returns the options
 */
export function runOptions (
  context: EntryContext, { known, used, lease }: ReadLease, scope: RequestScope, mayLeave: boolean
): RunOptions {
  return {
    used,
    lease,
    deadline: scope.deadline,
    onTime: context.measures.upstream,
    onSilence: () => {
      context.leadership.suspect(known.upstream)
      return mayLeave && used.health.unreachableSince !== undefined
    }
  }
}

/**
 * Takes note of an answer of the primary.
 *
 * @param context - the rest of the process
 * @param group - the group
 * @param right - the right under which the statement was sent
 * @param timed - the answer
 */
export function recordProof (
  context: EntryContext, group: string, right: PrimaryLease['right'] | undefined, { answer, sentAt }: TimedAnswer
): void {
  if (right !== undefined && answer.position !== undefined && answer.failure?.kind !== 'read-only') {
    context.freshness.of(group).record(right.epoch, sentAt, answer.position)
  }
}

/** What a failed try of a read means. */
type Consequence = 'answer' | 'elsewhere' | 'again'

const CONSEQUENCES: Partial<Record<NonNullable<StatementAnswer['failure']>['kind'], Consequence>> = {
  busy: 'elsewhere',
  lagging: 'elsewhere',
  misrouted: 'elsewhere',
  'read-only': 'elsewhere',
  failed: 'elsewhere',
  timeout: 'elsewhere',
  'unknown-statement': 'again'
}

/**
 * Serves a single read.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param work - the read
 * @param place - where it may run
 * @returns the answer
 * @throws RequestError
 */
export async function serveRead (
  context: EntryContext, scope: RequestScope, work: DataWork, place: ReadPlace
): Promise<StatementAnswer & { upstream: string }> {
  const tried = new Set<string>()
  for (;;) {
    const chosen = await leaseForRead(context, scope, place, tried)
    const name = chosen.known.upstream
    const last = scope.attempts >= READ_ATTEMPTS
    try {
      const maySend = (): boolean => place.type === 'after' ||
        (chosen.right !== undefined && holds(context, scope.group, chosen.right))
      const timed = await runWork(work, scope.values, chosen.after, runOptions(context, chosen, scope, true), maySend)
      chosen.lease.release()
      recordProof(context, scope.group, chosen.right, timed)
      const { answer } = timed
      noteLag(chosen, answer)
      const consequence = answer.failure === undefined ? 'answer' : CONSEQUENCES[answer.failure.kind] ?? 'answer'
      if (consequence === 'answer' || last || !mayRepeat(context, answer)) {
        return { ...answer, upstream: name }
      }
      logRepeat(context, scope, name, answer.failure?.kind ?? '', place)
      if (consequence === 'elsewhere') {
        tried.add(name)
      }
      if (answer.failure?.kind === 'busy' || place.type === 'primary') {
        await pause(NOT_RUN_PAUSE_MS)
      }
    } catch (thrown) {
      tried.add(name)
      const error = thrown as RequestError
      if (last || scope.deadline.passed || !(error.verdict === 'not-run' || context.budget.spend())) {
        throw error
      }
      logRepeat(context, scope, name, error.message, place)
    }
  }
}

/** A read that was not run is repeated freely; one that ran and failed takes from the budget. */
function mayRepeat (context: EntryContext, { failure }: StatementAnswer): boolean {
  return (failure?.kind !== 'failed' && failure?.kind !== 'timeout') || context.budget.spend()
}

/**
 * Remembers whether a replica lagged.
 *
 * @param chosen - the upstream
 * @param answer - its answer
 */
export function noteLag ({ used, after }: ReadLease, answer: StatementAnswer): void {
  if (answer.failure?.kind === 'lagging') {
    used.health.lagged()
  } else if (answer.failure === undefined && after !== undefined) {
    used.health.caughtUp()
  }
}

function logRepeat (
  { logger, measures }: EntryContext, { requestId, group, attempts }: RequestScope, upstream: string, reason: string,
  place: ReadPlace
): void {
  measures.retry(reason.includes(' ') ? 'connection' : reason)
  logger.log('info', 'read.repeated', {
    id: requestId,
    group,
    upstream,
    reason,
    attempts,
    floor: place.type === 'after' ? formatPosition(place.position) : 'primary'
  })
}
