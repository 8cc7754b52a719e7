/** Client of the operators' HTTP endpoint of a proxy. */
import { WorkswardError, describeThrown, type ErrorDetails, type ErrorName } from '../../core/errors/index.ts'

/** Address of the endpoint and the operator's key. */
export interface ConsoleAccess {
  /** `ip:port` of a proxy's HTTP endpoint. */
  server: string
  key: string
}

/** A row of an answer. */
export type ConsoleRow = Record<string, string | number | boolean>

/** Number of retries when a call fails without a response; all calls are idempotent. */
const MAXIMUM_RETRIES = 2

/**
 * Sends a request to the endpoint.
 *
 * @param body - content of the request, sent as JSON
 * @returns content of the response
 * @throws WorkswardError the error that the proxy returned, or `PeerUnavailable`
 */
export async function callConsole<Result> (access: ConsoleAccess, path: string, body: unknown): Promise<Result> {
  const response = await send(access, path, body, MAXIMUM_RETRIES)
  const content = await response.json() as { error?: { entry?: ErrorName, details?: unknown, message?: string } }
  if (content.error === undefined) {
    return content as Result
  }
  const { entry, details, message } = content.error
  if (entry === undefined) {
    throw new Error(message)
  }
  throw new WorkswardError(entry, details as ErrorDetails<ErrorName>)
}

async function send (
  { server, key }: ConsoleAccess, path: string, body: unknown, retriesLeft: number
): Promise<Response> {
  try {
    return await fetch(`http://${server}${path}`, {
      method: 'POST', body: JSON.stringify(body), headers: { authorization: `Bearer ${key}` }
    })
  } catch (thrown) {
    if (retriesLeft > 0) {
      return await send({ server, key }, path, body, retriesLeft - 1)
    }
    throw new WorkswardError('PeerUnavailable', { peer: server, reason: describeThrown(thrown) })
  }
}
