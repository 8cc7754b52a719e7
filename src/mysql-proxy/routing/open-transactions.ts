/** The transactions that came over each peer link and are still open, so that they end with the link. */
import type { PeerLink } from '../../peers/types.ts'

/** Transactions by link. */
interface OpenTransactions {
  /**
   * Takes note of a transaction.
   *
   * @param link - the link it came over
   * @param id - its identity
   * @param end - ends it when the link is gone
   */
  add: (link: PeerLink, id: string, end: () => void) => void
  /** Forgets a transaction that has ended. */
  remove: (link: PeerLink, id: string) => void
}

/**
 * Creates an empty record.
 *
 * @returns the record
 */
export function createOpenTransactions (): OpenTransactions {
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
