/** Records where the time of a request goes, for its line in the log. */
import type { RequestScope, TimePart } from './types.ts'

/**
 * Adds to a part of the time of a request.
 *
 * @param scope - the request
 * @param part - the part
 * @param durationMs - duration, in milliseconds
 */
export function addTimeSpent (scope: Pick<RequestScope, 'timeSpent'>, part: TimePart, durationMs: number): void {
  scope.timeSpent ??= {}
  scope.timeSpent[part] = (scope.timeSpent[part] ?? 0) + Math.max(0, durationMs)
}

/**
 * Returns the parts as fields of a log line. Parts under a millisecond are left out.
 *
 * @param scope - the request, if it has begun
 * @returns the fields
 */
export function timeSpentFields (scope?: Pick<RequestScope, 'timeSpent'>): Partial<Record<TimePart, number>> {
  const parts = Object.entries(scope?.timeSpent ?? {})
    .map(([part, durationMs]) => [part, Math.round(durationMs)] as const)
  return Object.fromEntries(parts.filter(([, durationMs]) => durationMs > 0))
}
