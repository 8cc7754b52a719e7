/**
 * Serves this host's copies of store tables to other hosts. Changes are always returned. An empty response, or a whole
 * copy, is sent only while the copy is confirmed; otherwise the request is refused, since two hosts that the store
 * rejects would confirm outdated copies to each other. Large changes are sent only to hosts that the store rejects:
 * several hosts would share the link of this one, while the store serves all of them at once.
 */
import { STALE_AFTER_MS } from '../ports/change-bound.ts'
import type { TableResponse, TableRequest } from './table-messages.ts'
import type { TableConfirmation } from './followed-table.ts'
import type { TableChanges, TableCopy } from './table-copy.ts'

/** Time that a request is held while nothing changes, in milliseconds. */
export const TABLE_LONG_POLL_MS = 1500
/** Time that a follower has to respond beyond the long poll, in milliseconds; covers a full read of the store. */
export const RESPONSE_TIMEOUT_MS = 400
/** Maximum age of a full read that serves a request for a fresh one, in milliseconds; lets requests share a read. */
const MAXIMUM_FRESH_AGE_MS = 300
/** Size of the rows from which changes are large, in bytes. */
const MAXIMUM_CHANGES_BYTES = 65_536
/** Maximum age of this host's registry snapshot, in milliseconds; with an older one the host may be cut off. */
const MAXIMUM_REGISTRY_AGE_MS = 2500

export interface ServedTable {
  copy: TableCopy
  /** The last confirmation of the copy. */
  confirmation: () => TableConfirmation
  /** Requests a full read from the store. */
  requestFreshRead: () => void
  /** Whether the store answers this host. */
  isFollowing: () => boolean
  /** Whether a large answer of the store is arriving. */
  isReceivingLarge: () => boolean
}

/** Whether the copy is confirmed, so that a response without changes, and all rows of the copy, are reliable. */
function isConfirmed ({ confirmation }: ServedTable): boolean {
  return performance.now() - confirmation().confirmedAt < STALE_AFTER_MS
}

/** Responds to requests for tables. */
interface TableServer {
  /** Makes a table available to other hosts. */
  serve: (table: string, served: ServedTable) => void
  respond: (request: TableRequest) => Promise<TableResponse>
}

/**
 * Creates a server without tables.
 *
 * @param registryAgeMs - returns the age of this host's registry snapshot, in milliseconds
 * @returns the server
 */
export function createTableServer (registryAgeMs: () => number): TableServer {
  const tables = new Map<string, ServedTable>()
  return {
    serve: (table, served) => { tables.set(table, served) },
    respond: async ({ table, after, anew = false, acceptsLarge = false }) => {
      const served = tables.get(table)
      if (served === undefined || registryAgeMs() >= MAXIMUM_REGISTRY_AGE_MS) {
        return { changes: undefined }
      }
      const { isReceivingLarge } = served
      const mayWait = (): boolean => acceptsLarge || !isReceivingLarge()
      const changes = anew ? await waitForFreshRead(served, mayWait) : await waitForChanges(served, after, mayWait)
      if (changes === undefined ? !mayWait() : !acceptsLarge && isLarge(changes)) {
        return { changes: undefined, isLarge: true }
      }
      const ageMs = performance.now() - served.confirmation().confirmedAt
      return { changes, ageMs: Number.isFinite(ageMs) ? ageMs : undefined }
    }
  }
}

async function waitForFreshRead (
  { copy, requestFreshRead, isFollowing }: ServedTable, mayWait: () => boolean
): Promise<TableChanges | undefined> {
  const since = performance.now() - MAXIMUM_FRESH_AGE_MS
  if (copy.fullReadAt < since) {
    if (!isFollowing() || !mayWait()) {
      return undefined
    }
    requestFreshRead()
  }
  return await copy.waitForRead(since, RESPONSE_TIMEOUT_MS) ? await copy.changesSince(undefined, 0) : undefined
}

async function waitForChanges (
  served: ServedTable, after: number | undefined, mayWait: () => boolean
): Promise<TableChanges | undefined> {
  const { copy } = served
  const isFirst = after === undefined
  const holdMs = isFirst || isConfirmed(served) ? TABLE_LONG_POLL_MS : 0
  const changes = await copy.changesSince(after, holdMs, () => !mayWait())
  const isNew = changes !== undefined && !isFirst && changes.version > after
  return isNew || (isConfirmed(served) && mayWait()) ? changes : undefined
}

function isLarge ({ rows }: TableChanges): boolean {
  return rows.reduce((bytes, { key, value }) => bytes + key.length + value.length, 0) > MAXIMUM_CHANGES_BYTES
}
