/**
 * How old the data of each replica may be. Age counts from the sending of the probe that saw the primary at a position
 * which the replica has reached: everything committed before that moment is on the replica.
 */
import { comparePositions, meetsFloor, type LogPosition } from '../../positions/position.ts'

/** Probes of the primary that are kept. */
const REMEMBERED_PROBES = 128

/** A probe of the primary. */
interface PrimaryProbe {
  sentAt: number
  end: LogPosition
}

/** Keeps probes of the primary and what replicas have reached. */
export interface DataAge {
  /** Records a probe of the primary. */
  primarySeen: (sentAt: number, end: LogPosition) => void
  /** Records where a replica's log ended. */
  replicaSeen: (replica: string, end: LogPosition) => void
  /**
   * Returns the age of a replica's data.
   *
   * @param replica - its name
   * @returns the age in milliseconds; Infinity when nothing is known
   */
  ageMs: (replica: string) => number
  /** When the newest probe of the primary was sent; -Infinity when there was none. */
  readonly newestProbeAt: number
}

/**
 * Creates an empty record.
 *
 * @returns the record
 */
export function createDataAge (): DataAge {
  const probes: PrimaryProbe[] = []
  const currentAsOf = new Map<string, number>()
  const ends = new Map<string, LogPosition>()

  const update = (replica: string): void => {
    const end = ends.get(replica)
    const probe = end === undefined ? undefined : probes.findLast((candidate) => meetsFloor(end, candidate.end))
    if (probe !== undefined) {
      currentAsOf.set(replica, Math.max(probe.sentAt, currentAsOf.get(replica) ?? -Infinity))
    }
  }

  return {
    get newestProbeAt () { return probes.at(-1)?.sentAt ?? -Infinity },
    primarySeen: (sentAt, end) => {
      const newest = probes.at(-1)
      if (newest !== undefined && (newest.sentAt >= sentAt || comparePositions(end, newest.end) < 0)) {
        return
      }
      probes.push({ sentAt, end })
      if (probes.length > REMEMBERED_PROBES) {
        probes.shift()
      }
      ends.forEach((_end, replica) => update(replica))
    },
    replicaSeen: (replica, end) => {
      ends.set(replica, end)
      update(replica)
    },
    ageMs: (replica) => performance.now() - (currentAsOf.get(replica) ?? -Infinity)
  }
}
