/**
 * What this host answers when another one asks it for a table of the store.
 *
 * - Inputs: the copy of the table here, whether the store answers this host's questions for it, the age of its registry
 *   (milliseconds), and the version that the other host knows.
 * - Rule: changes are always returned. That nothing is new is said only while the store answers this host, after the
 *   question was held for {@link TABLE_HOLD_MS}; otherwise the host refuses at once, and another one is asked.
 * - Why: two hosts that the store rejects would assure each other for good that nothing is new.
 */
import type { TableAnswer, TableQuestion } from './table-messages.ts'
import type { TableChanges, TableCopy } from './table-copy.ts'

/**
 * Time for which a question is held while nothing changes, in milliseconds. A follower that falls silent is noticed in
 * less: its link breaks when it does not answer the next question for the registry.
 */
export const TABLE_HOLD_MS = 1500
/** Time to read a table anew, in milliseconds. */
export const ANSWER_MS = 400
/** Age of a whole read that counts as read anew, in milliseconds: many hosts ask for the same. */
const ANEW_MS = 300
/** Greatest age of this host's registry, in milliseconds: with an older one the host may be cut off. */
const IN_TOUCH_MS = 2500

/** A table that other hosts may ask for. */
export interface ServedTable {
  copy: TableCopy
  /** Has it read from the store. */
  readAnew: () => void
  /** Whether the store answers this host's questions for it, so that the host knows when nothing is new. */
  isFollowing: () => boolean
}

/** Answers other hosts. */
interface TableAnswers {
  /** Lets other hosts ask for a table. */
  serve: (table: string, served: ServedTable) => void
  answer: (question: TableQuestion) => Promise<TableAnswer>
}

/**
 * Creates the answers; no table is served yet.
 *
 * @param registryAgeMs - age of the registry here, in milliseconds
 * @returns the answers
 */
export function createTableAnswers (registryAgeMs: () => number): TableAnswers {
  const tables = new Map<string, ServedTable>()
  return {
    serve: (table, served) => { tables.set(table, served) },
    answer: async ({ table, after, anew = false }) => {
      const served = tables.get(table)
      if (served === undefined || registryAgeMs() >= IN_TOUCH_MS) {
        return { changes: undefined }
      }
      return { changes: anew ? await readAnew(served) : await waitForChanges(served, after) }
    }
  }
}

async function readAnew ({ copy, readAnew, isFollowing }: ServedTable): Promise<TableChanges | undefined> {
  const since = performance.now() - ANEW_MS
  if (copy.readAt < since) {
    if (!isFollowing()) {
      return undefined
    }
    readAnew()
  }
  return await copy.readSince(since, ANSWER_MS) ? await copy.changesSince(undefined, 0) : undefined
}

async function waitForChanges (
  { copy, isFollowing }: ServedTable, after: number | undefined
): Promise<TableChanges | undefined> {
  const isFirst = after === undefined
  const changes = await copy.changesSince(after, isFirst || isFollowing() ? TABLE_HOLD_MS : 0)
  const isNew = changes !== undefined && (isFirst || changes.version > after)
  return isNew || isFollowing() ? changes : undefined
}
