/**
 * How many connections a home may hold to an upstream: the declared share, less after the upstream had no room, and one
 * more again after each {@link REGROW_MS}. Owns the share in force.
 */

/** Time after which a share that was refused grows again by one, in milliseconds. */
const REGROW_MS = 2000

/** A share of an upstream's connections. */
interface ConnectionShare {
  /** Connections that may be held. */
  readonly current: number
  /** Connections that the upstream had no room for. */
  readonly refused: number
  /** Changes the declared share. */
  declare: (share: number) => void
  /**
   * Shrinks the share to what is open, since the upstream has no room for more.
   *
   * @param open - connections that are open
   */
  shrink: (open: number) => void
  close: () => void
}

/**
 * Creates a share.
 *
 * @param first - the declared share
 * @param onChange - called whenever the share in force was set
 * @returns the share
 */
export function createConnectionShare (first: number, onChange: () => void): ConnectionShare {
  let declared = first
  let current = first
  let refused = 0

  const change = (next: number): void => {
    current = next
    onChange()
  }
  const regrow = setInterval(() => change(Math.min(declared, current + 1)), REGROW_MS)
  regrow.unref()

  return {
    get current () { return current },
    get refused () { return refused },
    declare: (share) => {
      declared = share
      change(share)
    },
    shrink: (open) => {
      refused++
      change(Math.max(1, open))
    },
    close: () => clearInterval(regrow)
  }
}
