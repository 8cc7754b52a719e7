/**
 * Opens connections to one upstream, and decides what a failed attempt says about the upstream. Owns the attempts in
 * progress and the pause after one for which the upstream had no room.
 *
 * Inputs: what the port throws. Rule: an upstream that refuses for lack of room is healthy, but no further connection
 * is tried for {@link NO_ROOM_PAUSE_MS}, and requests go on waiting; every other failure is a fault of the upstream
 * and fails all requests that wait for it.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { UpstreamUnreachable, type UpstreamConnection, type UpstreamPort, type UpstreamTarget } from '../ports/index.ts'
import type { UpstreamFault } from './types.ts'

/** Time to connect, in milliseconds: a new connection takes 12 ms, more while the upstream's slots are taken. */
const CONNECT_TIMEOUT_MS = 700
/** Time for which no further connection is tried after the upstream had no room, in milliseconds. */
const NO_ROOM_PAUSE_MS = 150

/** Options of {@link createConnectionOpener}. */
interface ConnectionOpenerOptions {
  target: UpstreamTarget
  port: UpstreamPort
  onOpened: (connection: UpstreamConnection, organisation: string) => void
  /** The pause after a lack of room is over. */
  onPauseOver: () => void
  onFault: (fault: UpstreamFault, error: RequestError) => void
}

/** Opens connections. */
export interface ConnectionOpener {
  /** Connections being opened. */
  readonly count: number
  /** Connections being opened, by organisation. */
  readonly byOrganisation: ReadonlyMap<string, number>
  /** Whether no connection is tried, since the upstream had no room. */
  readonly isPaused: boolean
  /** Whether the upstream had no room within twice {@link NO_ROOM_PAUSE_MS}. */
  readonly hadNoRoomLately: boolean
  /** Starts to open a connection for an organisation. */
  open: (organisation: string) => Promise<void>
}

/**
 * Creates the opener of a pool.
 *
 * @param options - the upstream, and what is called with the outcome of an attempt
 * @returns the opener
 */
export function createConnectionOpener (options: ConnectionOpenerOptions): ConnectionOpener {
  const { target, port, onOpened, onPauseOver, onFault } = options
  const opening = new Map<string, number>()
  let pausedUntil = -Infinity

  const count = (organisation: string, change: number): void => {
    const left = (opening.get(organisation) ?? 0) + change
    // Organisations come and go; one with nothing to open must not be looked through at each request.
    left === 0 ? opening.delete(organisation) : opening.set(organisation, left)
  }
  const takeFailure = (thrown: unknown): void => {
    const fault = faultOf(thrown)
    if (fault === undefined) {
      pausedUntil = performance.now() + NO_ROOM_PAUSE_MS
      setTimeout(onPauseOver, NO_ROOM_PAUSE_MS)
      return
    }
    onFault(fault, toRequestError(thrown, 'not-run'))
  }
  return {
    get count () { return [...opening.values()].reduce((sum, number) => sum + number, 0) },
    byOrganisation: opening,
    get isPaused () { return performance.now() < pausedUntil },
    get hadNoRoomLately () { return performance.now() < pausedUntil + NO_ROOM_PAUSE_MS },
    open: async (organisation) => {
      count(organisation, 1)
      try {
        const connection = await port.open(target, { organisation, timeoutMs: CONNECT_TIMEOUT_MS })
        count(organisation, -1)
        onOpened(connection, organisation)
      } catch (thrown) {
        count(organisation, -1)
        takeFailure(thrown)
      }
    }
  }
}

/**
 * Says what a failed attempt to connect reveals about the upstream.
 *
 * @param thrown - what the port threw
 * @returns the fault; undefined when the upstream is healthy and has no room
 */
export function faultOf (thrown: unknown): UpstreamFault | undefined {
  if (thrown instanceof UpstreamUnreachable) {
    return thrown.fault
  }
  if (thrown instanceof RequestError && thrown.entry === 'UpstreamRefused') {
    return (thrown as RequestError<'UpstreamRefused'>).details.reason === 'misrouted' ? 'misrouted' : undefined
  }
  return 'silent'
}
