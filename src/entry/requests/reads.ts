/** Reads: where they go, and what is tried when an upstream does not serve them. */
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { verdictOf, type FailureKind, type Freshness, type StatementAnswer } from '../ports/index.ts'
import { formatPosition, type LogPosition } from '../../positions/position.ts'
import { chooseForRead } from './choose-upstream.ts'
import { NOT_RUN_PAUSE_MS, READ_ATTEMPTS, WAIT_SHARE } from './consts.ts'
import { createHomeSeat } from './home-seat.ts'
import { acquire, seatAtPrimary } from './primary-access.ts'
import type { TimedAnswer } from './run-statement.ts'
import { createLocalSeat, type Seat } from './seat.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'

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
  const position = known ?? await fetchFloor(context, group, since, floor)
  return position === undefined ? { type: 'primary' } : { type: 'after', position }
}

/** Asks for a proof: the homes of the primary can make one. */
async function fetchFloor (
  { directory, freshness, homes, leadership }: EntryContext, group: string, since: number, floor?: LogPosition
): Promise<LogPosition | undefined> {
  const primary = directory.get(leadership.primaryOf(group) ?? '')
  const found = await freshness.fetch(group, since, primary === undefined ? [] : homes.of(primary))
  return found ? freshness.of(group).floorSince(since, floor) : undefined
}

/**
 * Takes a seat at which a read may run.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param place - where it may run
 * @param tried - upstreams that have been tried
 * @returns the seat
 * @throws RequestError with verdict `not-run`
 */
export async function seatForRead (
  context: EntryContext, scope: RequestScope, place: ReadPlace, tried: Set<string>
): Promise<Seat> {
  if (place.type === 'primary') {
    return await seatAtPrimary(context, scope)
  }
  for (;;) {
    const chosen = chooseForRead(context, scope, place.position, tried)
    if (chosen === undefined) {
      return await seatAtPrimary(context, scope)
    }
    scope.attempts++
    const { known, used, home } = chosen
    if (home !== undefined) {
      return createHomeSeat(context, { home, known, used, after: place.position })
    }
    try {
      const waitMs = Math.max(1, scope.deadline.leftMs * WAIT_SHARE / 2)
      const turn = await acquire(context, scope, used, waitMs)
      const right = context.leadership.of(scope.group)
      const isPrimary = right?.upstream === known.upstream
      return createLocalSeat(context, {
        known, used, ...turn, after: place.position, right: isPrimary ? right : undefined
      })
    } catch (thrown) {
      scope.deadline.check('not-run', 'looking for an upstream')
      context.logger.log('info', 'read.upstream-unavailable', {
        id: scope.requestId, group: scope.group, upstream: known.upstream, reason: (thrown as Error).message
      })
      tried.add(known.upstream)
    }
  }
}

/** Failures of an upstream that is not the primary, or has lost what it had. */
const NOT_OF_PRIMARY: ReadonlySet<FailureKind | undefined> = new Set<FailureKind>(['read-only', 'lagging'])

/**
 * Takes note of an answer: what it proves of the primary's log, and how long the statement took.
 *
 * @param context - the rest of the process
 * @param scope - the request
 * @param timed - the answer
 */
export function noteAnswer (
  { freshness, costs }: EntryContext, { group, database }: RequestScope, { answer, sentAt, ranMs, epoch }: TimedAnswer
): void {
  if (epoch !== undefined && answer.position !== undefined && !NOT_OF_PRIMARY.has(answer.failure?.kind)) {
    freshness.of(group).record(epoch, sentAt, answer.position)
  }
  if (database !== undefined && answer.signature !== undefined && ranMs > 0) {
    costs.record(database, ranMs)
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
    const seat = await seatForRead(context, scope, place, tried)
    const name = seat.known.upstream
    const last = scope.attempts >= READ_ATTEMPTS
    try {
      const timed = await seat.runSingle(scope, work, true)
      noteAnswer(context, scope, timed)
      const { answer } = timed
      noteLag(seat, answer)
      const consequence = answer.failure === undefined ? 'answer' : CONSEQUENCES[answer.failure.kind] ?? 'answer'
      if (consequence === 'answer' || last || !mayRepeat(context, answer)) {
        return { ...answer, upstream: name }
      }
      if (answer.failure !== undefined && verdictOf(answer.failure.kind) !== 'not-run') {
        context.limits.countAgain(scope.organisation ?? '')
      }
      logRepeat(context, scope, name, answer.failure?.kind ?? '', place)
      if (consequence === 'elsewhere') {
        tried.add(name)
      }
      if (answer.failure?.kind === 'busy' || place.type === 'primary') {
        await pause(NOT_RUN_PAUSE_MS)
      }
    } catch (thrown) {
      const error = thrown as RequestError
      // A home that is gone says nothing of the upstream.
      if (error.entry !== 'PeerUnavailable') {
        tried.add(name)
      }
      if (last || scope.deadline.passed || !(error.verdict === 'not-run' || context.budget.spend())) {
        throw error
      }
      if (error.verdict !== 'not-run') {
        context.limits.countAgain(scope.organisation ?? '')
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
 * Remembers whether a replica lagged, and how far its log is.
 *
 * @param seat - where the statement ran
 * @param answer - its answer
 */
export function noteLag ({ used, after }: Seat, answer: StatementAnswer): void {
  if (answer.position !== undefined) {
    used.health.reachedPosition(answer.position)
  }
  if (answer.failure?.kind === 'lagging') {
    used.health.lagged()
  } else if (answer.failure === undefined && after !== undefined) {
    used.health.caughtUp()
  }
}

function logRepeat (
  { logger, measures }: EntryContext, { requestId, group, attempts, home }: RequestScope, upstream: string,
  reason: string, place: ReadPlace
): void {
  measures.retry(reason.includes(' ') ? 'connection' : reason)
  logger.log('info', 'read.repeated', {
    id: requestId,
    group,
    upstream,
    home,
    reason,
    attempts,
    floor: place.type === 'after' ? formatPosition(place.position) : 'primary'
  })
}
