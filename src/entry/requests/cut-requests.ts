/** Reports the requests that lose their connection without an answer when this host stops. */
import type { Logger } from '../../core/logger/index.ts'
import type { UnansweredRequest } from '../ports/index.ts'

/** Maximum number of request ids on the log line. */
const MAXIMUM_NAMED = 10

/**
 * Counts unanswered requests by their stage.
 *
 * @param requests - the requests
 * @returns the number in each stage
 */
export function countByStage (requests: UnansweredRequest[]): { inProgress: number, unflushed: number } {
  const inProgress = requests.filter(({ stage }) => stage === 'in-progress').length
  return { inProgress, unflushed: requests.length - inProgress }
}

/**
 * Logs the requests whose connections are closed before they are answered; nothing if there are none.
 *
 * @param logger - the logger
 * @param requests - the unanswered requests
 */
export function logCutRequests (logger: Logger, requests: UnansweredRequest[]): void {
  if (requests.length > 0) {
    const ids = requests.slice(0, MAXIMUM_NAMED).map(({ id }) => id).join(',')
    logger.log('error', 'callers.cut', { requests: requests.length, ...countByStage(requests), ids })
  }
}
