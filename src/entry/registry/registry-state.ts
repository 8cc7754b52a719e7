/** Holds this host's newest snapshot of the registry and the time when it last showed this process as registered. */
import { createRowStandings, type RowStandings } from './row-standing.ts'
import { EMPTY_SNAPSHOT, type KnownHost, type RegistrySnapshot } from './snapshot.ts'

interface RegistryStateOptions {
  self: { name: string, process: string }
  /** Called after the listeners if the rows have changed. */
  onRowsChanged: () => void
}

/** This host's view of the registry. */
export interface RegistryState {
  readonly current: RegistrySnapshot
  /** Age of the last confirmation that this process is registered, in milliseconds, counted from the request. */
  confirmedAgeMs: () => number
  /** This host's row, written by any of its processes; undefined if there is none. */
  ownHost: () => KnownHost | undefined
  /** Other hosts that are registered and not retired. */
  otherHosts: () => KnownHost[]
  /** Since when the row of a host has stood; undefined if there is none. */
  rowStanding: RowStandings['of']
  /** Replaces the snapshot; ignores one of a lower version, or of the same version and an earlier request time. */
  accept: (snapshot: RegistrySnapshot) => void
  /** Adds a listener that is called after each accepted snapshot. */
  onChange: (listener: () => void) => void
}

/**
 * Creates the state with an empty snapshot.
 *
 * @param options - this process and the callback for changed rows
 * @returns the state
 */
export function createRegistryState ({ self, onRowsChanged }: RegistryStateOptions): RegistryState {
  const listeners: Array<() => void> = []
  const standings = createRowStandings()
  let current = EMPTY_SNAPSHOT
  let confirmedAt = -Infinity

  return {
    get current () { return current },
    confirmedAgeMs: () => performance.now() - confirmedAt,
    ownHost: () => current.hosts.find(({ name }) => name === self.name),
    otherHosts: () => current.liveHosts.filter(({ name }) => name !== self.name),
    rowStanding: standings.of,
    accept: (snapshot) => {
      const isOlder = snapshot.version === current.version && snapshot.askedAt < current.askedAt
      if (snapshot.version < current.version || isOlder) {
        return
      }
      const rowsChanged = snapshot.digest !== current.digest
      current = snapshot
      standings.record(snapshot)
      if (snapshot.hosts.some(({ name, process }) => name === self.name && process === self.process)) {
        confirmedAt = Math.max(confirmedAt, snapshot.askedAt)
      }
      listeners.forEach((listener) => listener())
      if (rowsChanged) {
        onRowsChanged()
      }
    },
    onChange: (listener) => { listeners.push(listener) }
  }
}
