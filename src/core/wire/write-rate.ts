/** Observes how much a connection takes at once, and how long it then takes until it has room again. */

/** How the writing of an answer goes on. */
export interface WriteProgress {
  /** Bytes of the answer that are still to be written. */
  remainingBytes: number
  /** Bytes that the connection is expected to take at once. */
  roomBytes: number
  /**
   * Longest of the last waits until the connection had room again, in milliseconds; undefined if there was none since
   * the caller had read everything.
   */
  longestWaitMs: number | undefined
}

/** Size that a connection is expected to take at once if its caller has read everything, in bytes. */
const EMPTY_ROOM_BYTES = 262_144
/** Size that it is expected to take at once after a wait, in bytes. */
const LEAST_ROOM_BYTES = 65_536
/** Number of recent observations that count. */
const RECENT = 3

/** Observations of one connection. */
export interface WriteRate {
  /**
   * Records a request.
   *
   * @param isAlone - whether no other request was unanswered, so that the caller has read everything that was written
   */
  recordRequest: (isAlone: boolean) => void
  /** Records that the operating system took a piece at once. */
  recordTaken: (bytes: number) => void
  /** Records that it did not take a piece at once. */
  recordFull: () => void
  /** Records that it has taken that piece, and has room again. */
  recordRoom: () => void
  /** Returns the observations for an answer of which this many bytes are still to be written. */
  progressOf: (remainingBytes: number) => WriteProgress
}

/** Returns the most recent observations, with a new one. */
function addRecent (values: number[], value: number): number[] {
  return [...values, value].slice(-RECENT)
}

/**
 * Creates the observations of a connection that has written nothing.
 *
 * @returns the observations
 */
export function createWriteRate (): WriteRate {
  /** Recent waits, and the bytes taken at once after them, since the caller had read everything. */
  let waitsMs: number[] = []
  let roomsBytes: number[] = []
  /** Most bytes that were taken at once after the caller had read everything. */
  let mostAtOnce = EMPTY_ROOM_BYTES
  /** What was known of the connection when `takenBytes` began to count. */
  let since: 'empty' | 'unknown' | 'room' = 'empty'
  let takenBytes = 0
  let fullAt = 0

  const begin = (next: typeof since): void => {
    since = next
    takenBytes = 0
  }
  const roomBytes = (): number => {
    const shown = roomsBytes.length === 0 ? LEAST_ROOM_BYTES : Math.min(...roomsBytes)
    return Math.max(0, (since === 'empty' ? mostAtOnce : Math.max(LEAST_ROOM_BYTES, shown)) - takenBytes)
  }
  return {
    recordRequest: (isAlone) => {
      if (isAlone) {
        waitsMs = []
        roomsBytes = []
        begin('empty')
      } else if (since === 'empty') {
        begin('unknown')
      }
    },
    recordTaken: (bytes) => {
      takenBytes += bytes
      if (since === 'empty') {
        mostAtOnce = Math.max(mostAtOnce, takenBytes)
      }
    },
    recordFull: () => {
      roomsBytes = since === 'room' ? addRecent(roomsBytes, takenBytes) : roomsBytes
      fullAt = performance.now()
    },
    recordRoom: () => {
      waitsMs = addRecent(waitsMs, performance.now() - fullAt)
      begin('room')
    },
    progressOf: (remainingBytes) => ({
      remainingBytes,
      roomBytes: roomBytes(),
      longestWaitMs: waitsMs.length === 0 ? undefined : Math.max(...waitsMs)
    })
  }
}
