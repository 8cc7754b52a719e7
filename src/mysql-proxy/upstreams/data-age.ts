/**
 * Upper bounds on the age of each replica's data. Once a replica has reached the position that a probe of the primary
 * returned, it holds everything committed before the probe was sent, so its age counts from that time.
 */
import { comparePositions, meetsFloor, type LogPosition } from '../../positions/position.ts'

/** Maximum number of recent primary probes kept for comparison. */
const MAXIMUM_PROBES = 128

/** Result of a probe of the primary. */
interface PrimaryProbe {
  /** When the probe was sent, in milliseconds of the monotonic clock. */
  sentAt: number
  end: LogPosition
}

/** Tracks the age of the replicas' data. */
export interface DataAge {
  /** Records the end of the primary's log. */
  recordPrimary: (sentAt: number, end: LogPosition) => void
  /** Records the end of a replica's log. */
  recordReplica: (replica: string, end: LogPosition) => void
  /**
   * Returns the age of a replica's data.
   *
   * @param replica - name of the replica
   * @returns the age in milliseconds; Infinity when the replica has not reached any probed position
   */
  ageMs: (replica: string) => number
  /** Forgets the probes and ages, which prove nothing once another primary leads. */
  clear: () => void
  /** When the latest probe of the primary was sent; -Infinity before the first one. */
  readonly newestProbeAt: number
}

/**
 * Creates a tracker without probes.
 *
 * @returns the tracker
 */
export function createDataAge (): DataAge {
  const probes: PrimaryProbe[] = []
  const currentAsOf = new Map<string, number>()
  const ends = new Map<string, LogPosition>()

  const updateAge = (replica: string): void => {
    const end = ends.get(replica)
    const probe = end === undefined ? undefined : probes.findLast((candidate) => meetsFloor(end, candidate.end))
    if (probe !== undefined) {
      currentAsOf.set(replica, Math.max(probe.sentAt, currentAsOf.get(replica) ?? -Infinity))
    }
  }

  return {
    get newestProbeAt () { return probes.at(-1)?.sentAt ?? -Infinity },
    recordPrimary: (sentAt, end) => {
      const newest = probes.at(-1)
      if (newest !== undefined && (newest.sentAt >= sentAt || comparePositions(end, newest.end) < 0)) {
        return
      }
      probes.push({ sentAt, end })
      if (probes.length > MAXIMUM_PROBES) {
        probes.shift()
      }
      ends.forEach((_end, replica) => updateAge(replica))
    },
    recordReplica: (replica, end) => {
      ends.set(replica, end)
      updateAge(replica)
    },
    clear: () => {
      probes.length = 0
      currentAsOf.clear()
    },
    ageMs: (replica) => performance.now() - (currentAsOf.get(replica) ?? -Infinity)
  }
}
