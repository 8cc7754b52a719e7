/** Counts what each priority of an organisation asked for and got, and reports it while operations are refused. */
import type { LogFields } from '../../core/logger/types.ts'
import type { PriorityGrant, PriorityRequest } from './limit-frames.ts'
import { countedPriority } from './priority-demand.ts'

/** Least time between two reports about an organisation, in milliseconds. */
const REPORT_INTERVAL_MS = 1000

/** Operations of one priority since the last report. */
interface PriorityCounts {
  asked: number
  granted: number
  refused: number
}

/** Counts the operations of an organisation. */
export interface LimitPressure {
  /**
   * Counts the grants of a request.
   *
   * @param requests - operations requested, by priority
   * @param grants - operations granted
   * @param level - level of the bucket afterwards
   * @returns fields of a report that is due; undefined for none
   */
  count: (
    requests: readonly PriorityRequest[], grants: readonly PriorityGrant[], level: number
  ) => LogFields | undefined
  countReturned: (operations: number) => void
}

/**
 * Creates the counts of an organisation.
 *
 * @returns the counts
 */
export function createLimitPressure (): LimitPressure {
  const counts = new Map<number, PriorityCounts>()
  let returned = 0
  let refused = 0
  let reportedAt = -Infinity

  const list = (field: keyof PriorityCounts): string =>
    [...counts].sort(([left], [right]) => left - right).map(([priority, some]) => `${priority}:${some[field]}`).join(' ')
  const report = (level: number): LogFields => {
    const fields = {
      asked: list('asked'), granted: list('granted'), returned, refused: list('refused'), level: Math.floor(level)
    }
    counts.clear()
    returned = 0
    refused = 0
    reportedAt = performance.now()
    return fields
  }
  return {
    count: (requests, grants, level) => {
      requests.forEach(({ priority: requested, wanted }) => {
        const granted = grants.find((grant) => grant.priority === requested)?.granted ?? 0
        const priority = countedPriority(requested)
        const before = counts.get(priority) ?? { asked: 0, granted: 0, refused: 0 }
        refused += wanted - granted
        counts.set(priority, {
          asked: before.asked + wanted, granted: before.granted + granted, refused: before.refused + wanted - granted
        })
      })
      return refused > 0 && performance.now() - reportedAt >= REPORT_INTERVAL_MS ? report(level) : undefined
    },
    countReturned: (operations) => { returned += operations }
  }
}
