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
export function countByStage (
  requests: UnansweredRequest[]
): { queued: number, inProgress: number, unflushed: number } {
  const count = (stage: UnansweredRequest['stage']): number => requests.filter((request) => request.stage === stage).length
  return { queued: count('queued'), inProgress: count('in-progress'), unflushed: count('unflushed') }
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
