/** Checks the history of a run against each consistency guarantee. */
import { TRANSFER_HALVES, type History, type HistoryEvent, type Violation } from '../history.ts'

/** Returns a description of each violation of one guarantee. */
type Checker = (history: History) => string[]

/** Checkers by the name of the guarantee. */
export const CHECKERS: Record<string, Checker> = {
  'acknowledged-survives': acknowledgedSurvives,
  'at-most-once': atMostOnce,
  'refused-never-ran': refusedNeverRan,
  'reads-own-writes': readsOwnWrites,
  'never-back-in-time': neverBackInTime,
  'transactions-whole': transactionsWhole,
  'transactions-isolated': transactionsIsolated,
  'whole-answers': wholeAnswers
}

/**
 * Checks a run against every guarantee.
 *
 * @param history - the run
 * @returns all violations
 */
export function checkHistory (history: History): Violation[] {
  return Object.entries(CHECKERS).flatMap(([check, find]) =>
    find(history).map((description) => ({ check, description })))
}

function acknowledgedSurvives ({ events, final }: History): string[] {
  const held = new Set(final.records.map(({ request }) => request))
  return events.filter(isDone).flatMap((event) => requestsOf(event))
    .filter((request) => !held.has(request))
    .map((request) => `${request} was acknowledged but is missing from the final state`)
}

function atMostOnce ({ final }: History): string[] {
  const counts = new Map<string, number>()
  final.records.forEach(({ request }) => counts.set(request, (counts.get(request) ?? 0) + 1))
  return [...counts].filter(([, count]) => count > 1).map(([request, count]) => `${request} ran ${count} times`)
}

/** A refused request may be retried under its key, so only its last outcome counts. */
function refusedNeverRan ({ events, final }: History): string[] {
  const held = new Set(final.records.map(({ request }) => request))
  const lastOutcome = new Map<string, HistoryEvent>()
  events.forEach((event) => requestsOf(event).forEach((request) => lastOutcome.set(request, event)))
  return [...lastOutcome]
    .filter(([request, { outcome }]) => outcome.type === 'refused' && outcome.verdict === 'not-run' && held.has(request))
    .map(([request]) => `${request} was refused as not run but took effect`)
}

function readsOwnWrites ({ events }: History): string[] {
  return sessionsOf(events).flatMap((session) => {
    const written = new Set<string>()
    const missing: string[] = []
    for (const event of session.filter(isDone)) {
      requestsOf(event).forEach((request) => written.add(request))
      if (event.operation.type === 'read-own') {
        const seen = new Set(event.operation.seen)
        const lost = [...written].filter((request) => !seen.has(request))
        missing.push(...lost.map((request) => `${event.session} wrote ${request} but did not read it at ${event.sequence}`))
      }
    }
    return missing
  })
}

function neverBackInTime ({ events }: History): string[] {
  return sessionsOf(events).flatMap((session) => {
    const seenBefore = new Set<string>()
    const missing: string[] = []
    for (const { operation, session: name, sequence } of session.filter(isDone)) {
      if (operation.type === 'read-own') {
        const seen = new Set(operation.seen)
        const lost = [...seenBefore].filter((request) => !seen.has(request))
        missing.push(...lost.map((request) => `${name} read ${request} earlier but not at ${sequence}`))
        seen.forEach((request) => seenBefore.add(request))
      }
    }
    return missing
  })
}

function transactionsWhole ({ events, final }: History): string[] {
  const held = new Set(final.records.map(({ request }) => request))
  return events.flatMap(({ operation }) => operation.type === 'transfer' ? [operation.request] : [])
    .filter((request) => new Set(TRANSFER_HALVES.map((half) => held.has(request + half))).size > 1)
    .map((request) => `transaction ${request} was applied partially`)
}

function transactionsIsolated ({ events, final, startTotal }: History): string[] {
  const totals = events.filter(isDone)
    .flatMap(({ operation, sequence, session }) => operation.type === 'total' ? [{ ...operation, sequence, session }] : [])
  const wrong = totals.filter(({ total }) => total !== startTotal)
    .map(({ total, session, sequence }) => `${session} read a total of ${total} at ${sequence}, expected ${startTotal}`)
  return final.total === startTotal ? wrong : [...wrong, `the final total is ${final.total}, expected ${startTotal}`]
}

function wholeAnswers ({ events }: History): string[] {
  return events.filter(isDone).flatMap(({ operation, session, sequence }) => {
    if (operation.type !== 'echo' || (operation.received === operation.wanted && operation.foreign === 0)) {
      return []
    }
    const { wanted, received, foreign } = operation
    return [`${session} received ${received} of ${wanted} rows at ${sequence}, ${foreign} from another request`]
  })
}

function isDone ({ outcome }: HistoryEvent): boolean {
  return outcome.type === 'done'
}

/** Returns the records that an event leaves if it took effect. */
function requestsOf ({ operation }: HistoryEvent): string[] {
  if (operation.type === 'purchase') {
    return [operation.request]
  }
  return operation.type === 'transfer' ? TRANSFER_HALVES.map((half) => operation.request + half) : []
}

function sessionsOf (events: HistoryEvent[]): HistoryEvent[][] {
  const sessions = new Map<string, HistoryEvent[]>()
  for (const event of events) {
    const list = sessions.get(event.session) ?? []
    list.push(event)
    sessions.set(event.session, list)
  }
  return [...sessions.values()].map((list) => list.sort((left, right) => left.sequence - right.sequence))
}
