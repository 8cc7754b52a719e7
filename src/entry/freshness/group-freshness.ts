/**
 * Which position an upstream's log must have reached for a read. Owns the proofs of one group in one epoch.
 *
 * Inputs: answers of the primary (when the request was sent, on the steady clock, in milliseconds, and the position
 * that came back); the moment from which on everything acknowledged must be seen; what the session itself has written.
 * Rule: a request sent to the primary at time t that came back with position p proves that everything acknowledged
 * before t is at or before p. A read that accepts an age needs the position of the oldest proof that is young enough,
 * or its session's own floor where that is further in the same term; the upstream itself checks this. Without such a
 * proof only the primary will do.
 */
import { comparePositions, laterPosition, type LogPosition } from '../../positions/position.ts'

/** Age beyond which proofs are dropped, in milliseconds: above every age that routes accept, checked when read. */
const KEPT_MS = 10_000
/** Least distance of two proofs, in milliseconds: closer ones prove nearly the same. */
const SPACING_MS = 20

/** Proofs in an answer to a peer, and their least distance in milliseconds. They cover the ages of routes. */
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
   * Records an answer of the primary.
   *
   * @param epoch - epoch in which the request was sent, with a valid lease on the primary
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
  /** Proofs for a peer: the youngest first, some distance apart, as old as reads accept. */
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
      // The log of a primary only grows in an epoch: a primary that reports less was restarted and has lost it.
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
