/**
 * Connection for the status and the commands of an upstream, which is opened on first use and reopened after it has
 * failed. Its timeouts count against the upstream, so they don't count time in which this process did not run.
 */
import { startRunningTimer } from '../../core/time/running-timer.ts'
import type { Dialer } from '../../core/wire/dialer.ts'
import { openClient, type Client, type UpstreamAccess } from '../../mysql/client.ts'

/** Connection that is opened on demand. */
interface LazyClient {
  /** Returns the connection; concurrent calls share one connection attempt. */
  get: () => Promise<Client>
  close: () => void
}

/**
 * Creates a connection without opening it.
 *
 * @param access - address and credentials of the upstream
 * @param dialer - opens connections
 * @param timeoutMs - timeout for connecting and authenticating, in milliseconds
 * @returns the connection
 */
export function createLazyClient (access: UpstreamAccess, dialer: Dialer, timeoutMs: number): LazyClient {
  let opening: Promise<Client> | undefined
  let client: Client | undefined
  let closed = false
  return {
    get: async () => {
      if (client?.usable === true) {
        return client
      }
      opening ??= openClient({ access, dialer, connectTimeoutMs: timeoutMs, startTimer: startRunningTimer })
        .finally(() => { opening = undefined })
      client = await opening
      if (closed) {
        client.close()
      }
      return client
    },
    close: () => {
      closed = true
      client?.close()
    }
  }
}
