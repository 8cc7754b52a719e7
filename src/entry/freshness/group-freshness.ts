/**
 * Determines which log position an upstream must have reached for a read, from proofs of one group in one epoch. If a
 * request that was sent to the primary at time t returned position p, everything acknowledged before t is at or before
 * p. A read that accepts an age needs the position of the oldest proof that is recent enough, or its session's last
 * write if that is further in the same term. The upstream itself checks the position. Without such a proof the read
 * must go to the primary.
 */
import { comparePositions, laterPosition, type LogPosition } from '../../positions/position.ts'

/** Age beyond which proofs are dropped, in milliseconds; longer than any age that routes accept. */
const RETENTION_MS = 10_000
/** Minimum time between two stored proofs, in milliseconds. */
const MINIMUM_SPACING_MS = 20

/** Maximum number of proofs in an answer to a peer, and the minimum time between them, in milliseconds. */
const SHARED_PROOFS = { count: 12, spacingMs: 250 } as const

/** Position that covers everything acknowledged before a time. */
interface PositionProof {
  /** When the request to the primary was sent, on the monotonic clock, in milliseconds. */
  sentAt: number
  position: LogPosition
}

/** Proofs of one group in one epoch. */
export interface GroupFreshness {
  /**
   * Records an answer of the primary.
   *
   * @param epoch - epoch of the lease on the primary under which the request was sent
   * @param sentAt - when the request was sent, on the monotonic clock
   * @param position - log position in the answer
   */
  record: (epoch: number, sentAt: number, position: LogPosition) => void
  /**
   * Returns the position that an upstream must have reached for a read.
   *
   * @param since - time before which every acknowledged write must be visible, on the monotonic clock
   * @param sessionFloor - position of the last write of the session
   * @returns the position, or undefined if no proof is recent enough and only the primary can serve the read
   */
  floorSince: (since: number, sessionFloor?: LogPosition) => LogPosition | undefined
  /** Position of the newest proof. */
  readonly newest: LogPosition | undefined
  /** Epoch of the proofs, or 0 before the first proof. */
  readonly epoch: number
  /** Returns spaced proofs for a peer, newest first. */
  recent: () => PositionProof[]
}

/**
 * Creates the collection of a group's proofs.
 *
 * @returns an empty collection
 */
export function createGroupFreshness (): GroupFreshness {
  let proofs: PositionProof[] = []
  let currentEpoch = 0

  const insert = (proof: PositionProof): void => {
    let index = proofs.length
    while (index > 0 && proofs[index - 1]!.sentAt > proof.sentAt) {
      index--
    }
    const [secondLast, last] = [proofs[index - 2], proofs[index - 1]]
    const tooClose = secondLast !== undefined && last !== undefined &&
      last.sentAt - secondLast.sentAt < MINIMUM_SPACING_MS
    if (tooClose && index === proofs.length && comparePositions(proof.position, last.position) >= 0) {
      proofs[index - 1] = proof
    } else {
      proofs.splice(index, 0, proof)
    }
    const oldest = proof.sentAt - RETENTION_MS
    const firstKept = proofs.findIndex(({ sentAt }) => sentAt >= oldest)
    proofs = firstKept > 0 ? proofs.slice(firstKept) : proofs
  }

  return {
    record: (epoch, sentAt, position) => {
      if (epoch < currentEpoch) {
        return
      }
      if (epoch > currentEpoch) {
        currentEpoch = epoch
        proofs = []
      }
      const before = proofs.findLast((proof) => proof.sentAt <= sentAt)
      // A primary's log only grows in an epoch; one that reports an earlier position has lost its data in a restart.
      if (before === undefined || comparePositions(position, before.position) >= 0) {
        insert({ sentAt, position })
      }
    },
    floorSince: (since, sessionFloor) => {
      const proof = proofs.find(({ sentAt }) => sentAt >= since)
      if (proof === undefined) {
        return undefined
      }
      // A proof of a later term covers the session's position of an earlier term, unless that write was rolled back.
      const covered = sessionFloor === undefined || sessionFloor.term < proof.position.term
      return covered ? proof.position : laterPosition(proof.position, sessionFloor)
    },
    get epoch () { return currentEpoch },
    recent: () => {
      const selected: PositionProof[] = []
      for (const proof of proofs.toReversed()) {
        const last = selected.at(-1)
        const apart = last === undefined || last.sentAt - proof.sentAt >= SHARED_PROOFS.spacingMs
        if (apart && selected.length < SHARED_PROOFS.count) {
          selected.push(proof)
        }
      }
      return selected
    },
    get newest () { return proofs.at(-1)?.position }
  }
}
