/** Quorum operations on a group: collects statuses from a majority, and waits until replicas reach a log position. */
import type { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { ObservedStatus, StatusChannel } from './status-channel.ts'
import type { UpstreamStatus } from './status.ts'

/** Log position to be replicated, and the required number of replicas. */
interface ReplicationTarget {
  target: LogPosition
  /** Replicas that must have reached the position. */
  needed: number
  deadline: Deadline
}

/**
 * Queries the status of all upstreams until a majority has answered. All queries are sent after this call.
 *
 * @param channels - status channels of the upstreams
 * @param majority - number of answers required
 * @param noMajority - creates the error thrown when too many queries have failed
 * @returns the first `majority` statuses received
 */
export async function queryUntilMajority (
  channels: StatusChannel[], majority: number, noMajority: () => RequestError
): Promise<ObservedStatus[]> {
  const answers: ObservedStatus[] = []
  await new Promise<void>((resolve, reject) => {
    let failures = 0
    for (const channel of channels) {
      channel.fetchStatus().then((observed) => {
        answers.push(observed)
        if (answers.length === majority) {
          resolve()
        }
      }, () => {
        failures++
        if (failures > channels.length - majority) {
          reject(noMajority())
        }
      })
    }
  })
  return answers.slice(0, majority)
}

/**
 * Waits until enough replicas have reached a log position.
 *
 * @param replicas - status channels of the replicas
 * @param wanted - the position, the number of replicas and the deadline
 * @returns whether enough replicas have reached it; false as soon as enough no longer can, because replicas moved to a
 *   newer term or the deadline passed
 */
export async function waitForReplicas (
  replicas: StatusChannel[], { target, needed, deadline }: ReplicationTarget
): Promise<boolean> {
  if (replicas.length < needed) {
    return false
  }
  return await new Promise<boolean>((resolve) => {
    let reached = 0
    let pending = 0
    for (const channel of replicas) {
      pending++
      const isSettled = (status: UpstreamStatus): boolean => status.term > target.term || hasReached(status, target)
      void channel.waitUntil(isSettled, deadline).then((observed) => {
        pending--
        if (observed !== undefined && hasReached(observed.status, target)) {
          reached++
        }
        if (reached === needed) {
          resolve(true)
        } else if (reached + pending < needed) {
          resolve(false)
        }
      })
    }
  })
}

/** Only a log of the same term is known to be a prefix of the primary's log, so that positions can be compared. */
function hasReached (status: UpstreamStatus, target: LogPosition): boolean {
  return status.term === target.term && status.logTerm === target.term && status.position >= target.position
}
