/** The transactions that came over each peer link and are still open, so that they end with the link. */
import type { PeerLink } from '../../peers/types.ts'

/** Transactions by link. */
interface LinkTransactions {
  /**
   * Records a transaction.
   *
   * @param link - the link it came over
   * @param id - its identity
   * @param end - rolls it back when the link is gone
   */
  add: (link: PeerLink, id: string, end: () => void) => void
  /** Drops a transaction that has ended. */
  remove: (link: PeerLink, id: string) => void
}

/**
 * Creates an empty record.
 *
 * @returns the record
 */
export function createLinkTransactions (): LinkTransactions {
  const byLink = new WeakMap<PeerLink, Map<string, () => void>>()
  return {
    add: (link, id, end) => {
      const known = byLink.get(link)
      const open = known ?? new Map<string, () => void>()
      open.set(id, end)
      if (known === undefined) {
        byLink.set(link, open)
        link.onClose(() => open.forEach((endOne) => endOne()))
      }
    },
    remove: (link, id) => { byLink.get(link)?.delete(id) }
  }
}
