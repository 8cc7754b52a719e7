/**
 * What the answers of a primary prove about the age of data. A request sent to the primary at time t that came back
 * with position p proves that everything acknowledged before t is at or before p. A read that accepts an age goes to
 * any upstream whose log has reached the position of a proof from that long ago; the upstream itself checks this.
 */
import { comparePositions, laterPosition, type LogPosition } from '../../positions/position.ts'

/** Age beyond which proofs are dropped, in milliseconds; above every age that routes accept, checked when read. */
const KEPT_MS = 10_000
/** Least distance of two proofs, in milliseconds: closer ones say the same. */
const SPACING_MS = 20

/** Proofs that are passed on to a peer, and their least distance in milliseconds: they cover the ages of routes. */
const PASSED_ON = { count: 12, spacingMs: 250 } as const

/** A proof. */
interface PositionProof {
  /** When the request was sent, on the steady clock, in milliseconds. */
  sentAt: number
  position: LogPosition
}

/** Proofs of one group in one epoch. */
export interface GroupFreshness {
  /**
   * Takes an answer of the primary.
   *
   * @param epoch - epoch in which the request was sent, with the right to the primary
   * @param sentAt - when it was sent
   * @param position - the position that came back
   */
  record: (epoch: number, sentAt: number, position: LogPosition) => void
  /**
   * Returns the position that a read must find.
   *
   * @param since - everything acknowledged before this moment must be seen
   * @param sessionFloor - what the session itself has written
   * @returns the position; undefined when no proof is fresh enough, so that only the primary will do
   */
  floorSince: (since: number, sessionFloor?: LogPosition) => LogPosition | undefined
  /** The newest proof's position. */
  readonly newest: LogPosition | undefined
  /** Epoch of the proofs; 0 before the first one. */
  readonly epoch: number
  /** Proofs to pass on: the youngest first, some distance apart, as old as reads accept. */
  recent: () => PositionProof[]
}

/**
 * Creates the proofs of a group.
 *
 * @returns no proofs yet
 */
export function createGroupFreshness (): GroupFreshness {
  let proofs: PositionProof[] = []
  let currentEpoch = 0

  const insert = (proof: PositionProof): void => {
    let index = proofs.length
    while (index > 0 && proofs[index - 1]!.sentAt > proof.sentAt) {
      index--
    }
    const [anchor, last] = [proofs[index - 2], proofs[index - 1]]
    const crowded = anchor !== undefined && last !== undefined && last.sentAt - anchor.sentAt < SPACING_MS
    if (crowded && index === proofs.length && comparePositions(proof.position, last.position) >= 0) {
      proofs[index - 1] = proof
    } else {
      proofs.splice(index, 0, proof)
    }
    const oldest = proof.sentAt - KEPT_MS
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
      // The log of a primary only grows in an epoch: whoever says less has started again and lost it.
      if (before === undefined || comparePositions(position, before.position) >= 0) {
        insert({ sentAt, position })
      }
    },
    floorSince: (since, sessionFloor) => {
      const proof = proofs.find(({ sentAt }) => sentAt >= since)
      if (proof === undefined) {
        return undefined
      }
      // A position of an earlier term that is beyond its end was rolled back; a proof of a later term covers the rest.
      const covered = sessionFloor === undefined || sessionFloor.term < proof.position.term
      return covered ? proof.position : laterPosition(proof.position, sessionFloor)
    },
    get epoch () { return currentEpoch },
    recent: () => {
      const chosen: PositionProof[] = []
      for (const proof of proofs.toReversed()) {
        const last = chosen.at(-1)
        const apart = last === undefined || last.sentAt - proof.sentAt >= PASSED_ON.spacingMs
        if (apart && chosen.length < PASSED_ON.count) {
          chosen.push(proof)
        }
      }
      return chosen
    },
    get newest () { return proofs.at(-1)?.position }
  }
}
