/** Fetches changes of a followed table of which other hosts have told, if they do not arrive here in time. */
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { FollowedTable } from './followed-table.ts'

/** Time in which this host's own request must return a change after another host has told of it, in milliseconds. */
export const CHANGE_GRACE_MS = 250

interface CatchUpOptions {
  table: string
  logger: Logger
  followed: Pick<FollowedTable, 'copy'>
  /** Whether an answer of the store is arriving, which may contain the change. */
  isReceiving: () => boolean
  /** Reads the changes that a host has. */
  readFromHost: (host: string) => Promise<void>
  /** Called when this host still lacks the change after that. */
  onStillBehind: () => void
}

interface CatchUp {
  /** Newest version that other hosts have told of; kept when the followed version is invalidated. */
  readonly newest: number
  /** Whether the copy lacks a change of which another host has told. */
  isBehind: () => boolean
  /** Records the version of a host's copy, and catches up with it if necessary. */
  learn: (version: number, host: string) => void
}

/**
 * Creates the state of a host that has been told of no change.
 *
 * @param options - the table, and the ways to read it
 * @returns the state
 */
export function createCatchUp (
  { table, logger, followed, isReceiving, readFromHost, onStillBehind }: CatchUpOptions
): CatchUp {
  let newest = -1

  const isBehind = (): boolean => {
    // Uses the version of the copy, because a failure of the store invalidates the followed version.
    const { version } = followed.copy
    return version !== undefined && version < newest
  }
  const catchUp = async (host: string): Promise<void> => {
    do {
      await pause(CHANGE_GRACE_MS)
    } while (isBehind() && isReceiving())
    if (!isBehind()) {
      return
    }
    logger.log('info', 'feed.behind', { table, version: followed.copy.version, told: newest, peer: host })
    await readFromHost(host)
    if (isBehind()) {
      onStillBehind()
    }
  }
  return {
    get newest () { return newest },
    isBehind,
    learn: (version, host) => {
      newest = Math.max(newest, version)
      if (isBehind()) {
        void catchUp(host)
      }
    }
  }
}
