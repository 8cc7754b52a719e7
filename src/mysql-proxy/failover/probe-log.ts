/** Logs the failed probes of a primary, with the time in which this keeper itself did not run. */
import type { Logger } from '../../core/logger/index.ts'
import type { StallMeter } from '../../core/time/stall-meter.ts'

/** A failed probe. */
interface FailedProbe {
  upstream: string
  /** Consecutive failures, this one included. */
  failures: number
  error: Error
}

/** Log of the failed probes of one group. */
export interface ProbeLog {
  /** Logs a failed probe. */
  failed: (probe: FailedProbe) => void
  /** Restarts the measurement of the time in which this keeper did not run. */
  answered: () => void
}

/**
 * Creates the log.
 *
 * @param group - name of the group
 * @param logger - receives the lines
 * @param stalls - measures the time in which this keeper does not run
 * @returns the log
 */
export function createProbeLog (group: string, logger: Logger, stalls: StallMeter): ProbeLog {
  let countedMs = 0
  return {
    failed: ({ upstream, failures, error }) => {
      const { stalledMs } = stalls
      logger.log('info', 'failover.probe-failed', {
        group, upstream, failures, stalledMs: Math.round(stalledMs - countedMs), reason: error.message
      })
      countedMs = stalledMs
    },
    answered: () => { countedMs = stalls.stalledMs }
  }
}
