/** A connection to an upstream that opens when first needed, and again after it broke. Owns the connection. */
import type { Dialer } from '../../core/wire/dialer.ts'
import { openClient, type Client, type UpstreamAccess } from '../../mysql/client.ts'

/** A connection that opens when needed. */
interface LazyClient {
  /** Returns the connection; calls during its opening share it. */
  get: () => Promise<Client>
  close: () => void
}

/**
 * Creates a connection that is not open yet.
 *
 * @param access - the upstream
 * @param dialer - opens connections
 * @param timeoutMs - time to connect and log in, in milliseconds
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
      opening ??= openClient({ access, dialer, connectTimeoutMs: timeoutMs }).finally(() => { opening = undefined })
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
