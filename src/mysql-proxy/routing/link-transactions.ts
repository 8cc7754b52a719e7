/** Tracks the open transactions that arrived over each peer link, and rolls them back when the link closes. */
import type { PeerLink } from '../../peers/types.ts'

/** Open transactions by peer link. */
interface LinkTransactions {
  /**
   * Adds a transaction.
   *
   * @param link - link over which it was opened
   * @param id - identifier of the transaction
   * @param rollBack - called when the link closes while the transaction is open
   */
  add: (link: PeerLink, id: string, rollBack: () => void) => void
  /** Removes a transaction that has ended. */
  remove: (link: PeerLink, id: string) => void
}

/**
 * Creates an empty set of transactions by link.
 *
 * @returns the transactions
 */
export function createLinkTransactions (): LinkTransactions {
  const byLink = new WeakMap<PeerLink, Map<string, () => void>>()
  return {
    add: (link, id, rollBack) => {
      const existing = byLink.get(link)
      const open = existing ?? new Map<string, () => void>()
      open.set(id, rollBack)
      if (existing === undefined) {
        byLink.set(link, open)
        link.onClose(() => open.forEach((rollBackTransaction) => rollBackTransaction()))
      }
    },
    remove: (link, id) => { byLink.get(link)?.delete(id) }
  }
}
