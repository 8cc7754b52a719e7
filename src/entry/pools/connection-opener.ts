/**
 * Opens connections to one upstream and classifies failed attempts. An upstream that refuses a connection for lack of
 * capacity is healthy: requests keep waiting, and attempts pause for {@link FULL_PAUSE_MS}. Any other failure is a
 * fault of the upstream and rejects all requests that wait for it.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { UpstreamUnreachable, type UpstreamConnection, type UpstreamPort, type UpstreamTarget } from '../ports/index.ts'
import type { UpstreamFault } from './types.ts'

/** Timeout of an attempt to connect, in milliseconds. It takes 12 ms, and more while the upstream's slots are taken. */
const CONNECT_TIMEOUT_MS = 700
/** Pause between attempts after the upstream refused a connection for lack of capacity, in milliseconds. */
const FULL_PAUSE_MS = 150

/** Options of {@link createConnectionOpener}. */
interface ConnectionOpenerOptions {
  target: UpstreamTarget
  port: UpstreamPort
  onOpened: (connection: UpstreamConnection, organisation: string) => void
  /** Called when attempts may resume after a pause. */
  onPauseEnd: () => void
  onFault: (fault: UpstreamFault, error: RequestError) => void
}

export interface ConnectionOpener {
  /** Number of connections being opened. */
  readonly count: number
  /** Number of connections being opened, by organisation. */
  readonly byOrganisation: ReadonlyMap<string, number>
  /** Whether attempts are paused because the upstream had no capacity. */
  readonly isPaused: boolean
  /** Whether the upstream refused a connection for lack of capacity within twice {@link FULL_PAUSE_MS}. */
  readonly wasFullRecently: boolean
  /** Opens a connection for an organisation and reports the outcome to the callbacks. */
  open: (organisation: string) => Promise<void>
}

/**
 * Creates the connection opener of a pool.
 *
 * @param options - the upstream, its port and the callbacks
 * @returns the opener
 */
export function createConnectionOpener (options: ConnectionOpenerOptions): ConnectionOpener {
  const { target, port, onOpened, onPauseEnd, onFault } = options
  const opening = new Map<string, number>()
  let pausedUntil = -Infinity

  const count = (organisation: string, change: number): void => {
    const remaining = (opening.get(organisation) ?? 0) + change
    // Removes organisations without attempts, so that the map doesn't grow with every organisation ever seen.
    remaining === 0 ? opening.delete(organisation) : opening.set(organisation, remaining)
  }
  const handleFailure = (thrown: unknown): void => {
    const fault = faultFromError(thrown)
    if (fault === undefined) {
      pausedUntil = performance.now() + FULL_PAUSE_MS
      setTimeout(onPauseEnd, FULL_PAUSE_MS)
      return
    }
    onFault(fault, toRequestError(thrown, 'not-run'))
  }
  return {
    get count () { return [...opening.values()].reduce((sum, number) => sum + number, 0) },
    byOrganisation: opening,
    get isPaused () { return performance.now() < pausedUntil },
    get wasFullRecently () { return performance.now() < pausedUntil + FULL_PAUSE_MS },
    open: async (organisation) => {
      count(organisation, 1)
      try {
        const connection = await port.open(target, { organisation, timeoutMs: CONNECT_TIMEOUT_MS })
        count(organisation, -1)
        onOpened(connection, organisation)
      } catch (thrown) {
        count(organisation, -1)
        handleFailure(thrown)
      }
    }
  }
}

/**
 * Derives the fault of an upstream from a failed attempt to connect.
 *
 * @param thrown - error thrown by the port
 * @returns the fault; undefined if the upstream is healthy but has no capacity
 */
export function faultFromError (thrown: unknown): UpstreamFault | undefined {
  if (thrown instanceof UpstreamUnreachable) {
    return thrown.fault
  }
  if (thrown instanceof RequestError && thrown.entry === 'UpstreamRefused') {
    return (thrown as RequestError<'UpstreamRefused'>).details.reason === 'misrouted' ? 'misrouted' : undefined
  }
  return 'silent'
}
