/**
 * Maximum number of connections from a home to an upstream. When the upstream rejects a connection because its limit is
 * reached, the share shrinks to the open connections, and then grows by one per interval up to the declared share.
 */

/** Interval at which a reduced share grows by one connection, in milliseconds. */
const REGROW_INTERVAL_MS = 2000

/** Share of an upstream's connections. */
interface ConnectionShare {
  /** Maximum number of connections at present. */
  readonly current: number
  /** Connection attempts that the upstream rejected because its connection limit was reached. */
  readonly refused: number
  /** Changes the declared share. */
  setDeclared: (share: number) => void
  /**
   * Counts a rejected connection attempt and reduces the share to the open connections.
   *
   * @param open - number of open connections
   */
  shrink: (open: number) => void
  close: () => void
}

/**
 * Creates a connection share.
 *
 * @param initial - the declared share
 * @param onChange - called after every update of the current share
 * @returns the share
 */
export function createConnectionShare (initial: number, onChange: () => void): ConnectionShare {
  let declared = initial
  let current = initial
  let refused = 0

  const setCurrent = (next: number): void => {
    current = next
    onChange()
  }
  const regrow = setInterval(() => setCurrent(Math.min(declared, current + 1)), REGROW_INTERVAL_MS)
  regrow.unref()

  return {
    get current () { return current },
    get refused () { return refused },
    setDeclared: (share) => {
      declared = share
      setCurrent(share)
    },
    shrink: (open) => {
      refused++
      setCurrent(Math.max(1, open))
    },
    close: () => clearInterval(regrow)
  }
}
