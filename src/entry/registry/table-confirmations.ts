/**
 * Confirms the copies of followed tables. A host that reads the registry from the store also asks it for changes of the
 * tables; the versions and ages of its copies travel with the snapshot, so that every host knows how old its own are.
 */
import type { KnownTables } from './types.ts'

/** A followed table, as its follower offers it. */
export interface ConfirmedTable {
  /** Version of the newest change and time of the last confirmation; undefined while the copy lacks a known change. */
  describe: () => { version: number, confirmedAt: number } | undefined
  /** Receives the version of another host's copy, and when the store confirmed it. */
  hear: (version: number, confirmedAt: number, peer: string) => void
  /** Asks the store for changes. */
  confirm: () => Promise<void>
  /** Time of the last confirmation, on the monotonic clock; -Infinity before the first one. */
  confirmedAt: () => number
}

/** Confirmations of all followed tables. */
export interface TableConfirmations {
  add: (table: string, confirmed: ConfirmedTable) => void
  /** Age of the oldest confirmation, in milliseconds; tables that have not been read yet do not count. */
  readonly ageMs: number
  /** Versions and ages of the copies, for another host. */
  describe: () => KnownTables
  /** Whether a copy includes a change that is newer than those another host knows. */
  isNewerThan: (known: Record<string, number>) => boolean
  /** Versions of the copies. */
  versions: () => Record<string, number>
  /**
   * Receives the versions and ages of another host's copies.
   *
   * @param askedAt - time of the request to the host, on the monotonic clock
   */
  hear: (tables: KnownTables, askedAt: number, peer: string) => void
  /** Asks the store for changes of all tables; a table whose request is still pending is left out. */
  confirm: () => Promise<void>
}

/**
 * Creates the confirmations without tables.
 *
 * @returns the confirmations
 */
export function createTableConfirmations (): TableConfirmations {
  const tables = new Map<string, ConfirmedTable>()
  const pending = new Set<string>()

  const described = (): Array<[string, { version: number, confirmedAt: number }]> =>
    [...tables].flatMap(([table, { describe }]) => {
      const description = describe()
      return description === undefined ? [] : [[table, description]]
    })
  return {
    add: (table, confirmed) => { tables.set(table, confirmed) },
    get ageMs () {
      const times = [...tables.values()].map(({ confirmedAt }) => confirmedAt()).filter(Number.isFinite)
      return times.length === 0 ? 0 : performance.now() - Math.min(...times)
    },
    describe: () => Object.fromEntries(described().map(([table, { version, confirmedAt }]) =>
      [table, { version, ageMs: performance.now() - confirmedAt }])),
    isNewerThan: (known) => described().some(([table, { version }]) => version > (known[table] ?? Infinity)),
    versions: () => Object.fromEntries(described().map(([table, { version }]) => [table, version])),
    hear: (known, askedAt, peer) => Object.entries(known).forEach(([table, { version, ageMs }]) =>
      tables.get(table)?.hear(version, askedAt - ageMs, peer)),
    confirm: async () => {
      const due = [...tables].filter(([table]) => !pending.has(table))
      await Promise.all(due.map(async ([table, { confirm }]) => {
        pending.add(table)
        await confirm().finally(() => pending.delete(table))
      }))
    }
  }
}
