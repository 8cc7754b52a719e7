/**
 * The newest snapshot of the registry on this host, and when it last confirmed that this process is registered. It
 * owns both and calls listeners after each change; it knows nothing of how snapshots arrive.
 */
import { UNKNOWN_REGISTRY, type KnownHost, type RegistrySnapshot } from './snapshot.ts'

/** Options of {@link createRegistryState}. */
interface RegistryStateOptions {
  self: { name: string, process: string }
  /** Called after the listeners when the rows themselves have changed. */
  onRowsChanged: () => void
}

/** What this host knows of the registry. */
export interface RegistryState {
  readonly current: RegistrySnapshot
  /** Time since the question was sent whose answer showed this process as registered, in milliseconds. */
  confirmedAgeMs: () => number
  /** This host's row, whichever process wrote it; undefined when there is none. */
  ownHost: () => KnownHost | undefined
  /** Other hosts that are registered and not retired. */
  others: () => KnownHost[]
  /** Replaces the snapshot by one that is newer, or as new and confirmed later; ignores any other. */
  accept: (snapshot: RegistrySnapshot) => void
  /** Calls back after each accepted snapshot. */
  onChange: (listener: () => void) => void
}

/**
 * Creates the state of a host that knows nothing yet.
 *
 * @param options - this process, and who is notified of changed rows
 * @returns the state
 */
export function createRegistryState ({ self, onRowsChanged }: RegistryStateOptions): RegistryState {
  const listeners: Array<() => void> = []
  let current = UNKNOWN_REGISTRY
  let confirmedAt = -Infinity

  return {
    get current () { return current },
    confirmedAgeMs: () => performance.now() - confirmedAt,
    ownHost: () => current.hosts.find(({ name }) => name === self.name),
    others: () => current.liveHosts.filter(({ name }) => name !== self.name),
    accept: (snapshot) => {
      const isOlder = snapshot.version === current.version && snapshot.askedAt < current.askedAt
      if (snapshot.version < current.version || isOlder) {
        return
      }
      const rowsChanged = snapshot.digest !== current.digest
      current = snapshot
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
