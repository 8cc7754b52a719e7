/** Reports how old the confirmations of the followed tables are: a gauge, and a log line when one becomes too old. */
import type { Logger } from '../../core/logger/index.ts'
import { startAlignedInterval } from '../../core/time/aligned-interval.ts'
import type { Metrics } from '../../metrics/index.ts'
import { CHANGE_IN_FORCE_MS } from '../ports/change-bound.ts'
import type { TableConfirmation } from './followed-table.ts'

/** Interval between checks, in milliseconds. */
const CHECK_INTERVAL_MS = 1000
/** Value of the gauge before the first confirmation. */
const UNCONFIRMED = -1

interface TableAgesOptions {
  logger: Logger
  metrics: Pick<Metrics, 'registerGauge'>
}

/** Ages of the followed tables. */
interface TableAges {
  /** Adds a table. */
  add: (table: string, confirmation: () => TableConfirmation) => void
  /** Stops the checks. */
  close: () => void
}

/**
 * Starts to report the ages of tables.
 *
 * @param options - the log and the metrics
 * @returns the ages, without tables
 */
export function reportTableAges ({ logger, metrics }: TableAgesOptions): TableAges {
  const confirmations = new Map<string, () => TableConfirmation>()
  const staleTables = new Set<string>()

  metrics.registerGauge('worksward_table_age_milliseconds', 'Time since the store confirmed the copy of a table, -1 before the first time',
    () => Object.fromEntries([...confirmations].map(([table, confirmation]) => {
      const ageMs = performance.now() - confirmation().confirmedAt
      return [table, Number.isFinite(ageMs) ? ageMs : UNCONFIRMED]
    })))

  const check = (table: string, { confirmedAt, source }: TableConfirmation): void => {
    const ageMs = performance.now() - confirmedAt
    const isStale = ageMs > CHANGE_IN_FORCE_MS
    if (!Number.isFinite(ageMs) || isStale === staleTables.has(table)) {
      return
    }
    isStale ? staleTables.add(table) : staleTables.delete(table)
    logger.log(isStale ? 'warn' : 'info', isStale ? 'feed.stale' : 'feed.current', {
      table, source, ageMs: Math.round(ageMs)
    })
  }
  const stopChecks = startAlignedInterval(() => {
    confirmations.forEach((confirmation, table) => check(table, confirmation()))
  }, CHECK_INTERVAL_MS)
  return {
    add: (table, confirmation) => { confirmations.set(table, confirmation) },
    close: stopChecks
  }
}
