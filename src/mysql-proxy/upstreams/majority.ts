/**
 * Majorities of a group's upstreams: asks them for statuses, and waits until they hold a place in the log. Owns
 * nothing; relies on the status channels of the upstreams.
 */
import type { RequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { ObservedStatus, StatusChannel } from './status-channel.ts'
import type { UpstreamStatus } from './status.ts'

/** A place in the log that replicas should hold. */
interface ReplicatedPlace {
  place: LogPosition
  /** Replicas that must hold it. */
  needed: number
  deadline: Deadline
}

/**
 * Asks all upstreams, with questions sent after this call, until enough have answered.
 *
 * @param channels - channels of the upstreams
 * @param majority - answers that are needed
 * @param noMajority - builds the error when too many have failed
 * @returns the answers of the first that answered, `majority` of them
 */
export async function askUntilMajority (
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
 * Waits until replicas hold a place in the log.
 *
 * @param replicas - channels of the replicas
 * @param wanted - the place, how many replicas, and until when
 * @returns whether enough hold it; false as soon as too few are left that still can, by their term or by the deadline
 */
export async function waitForReplicas (
  replicas: StatusChannel[], { place, needed, deadline }: ReplicatedPlace
): Promise<boolean> {
  if (replicas.length < needed) {
    return false
  }
  return await new Promise<boolean>((resolve) => {
    let reached = 0
    let pending = 0
    for (const channel of replicas) {
      pending++
      const settled = (status: UpstreamStatus): boolean => status.term > place.term || holds(status, place)
      void channel.waitUntil(settled, deadline).then((observed) => {
        pending--
        if (observed !== undefined && holds(observed.status, place)) {
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

/** A replica counts only in the term of the record: its log is then the primary's up to its end. */
function holds (status: UpstreamStatus, place: LogPosition): boolean {
  return status.term === place.term && status.logTerm === place.term && status.position >= place.position
}
