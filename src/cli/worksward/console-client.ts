/** Talks to the operators' endpoint of a proxy. */
import { WorkswardError, describeThrown, type ErrorDetails, type ErrorName } from '../../core/errors/index.ts'

/** Where the endpoint is, and the operator's key. */
export interface ConsoleAccess {
  /** `ip:port` of a proxy's HTTP endpoint. */
  server: string
  key: string
}

/** A row to show. */
export type ShownRow = Record<string, string | number | boolean>

/** Times a call is repeated when its answer is lost; every call may safely be repeated. */
const REPEATS = 2

/**
 * Calls a path of the endpoint.
 *
 * @param access - where, and as whom
 * @param path - the path
 * @param body - content of the request
 * @returns content of the answer
 * @throws WorkswardError what the proxy answered
 */
export async function callConsole<Result> (access: ConsoleAccess, path: string, body: unknown): Promise<Result> {
  const response = await send(access, path, body, REPEATS)
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

async function send ({ server, key }: ConsoleAccess, path: string, body: unknown, repeats: number): Promise<Response> {
  try {
    return await fetch(`http://${server}${path}`, {
      method: 'POST', body: JSON.stringify(body), headers: { authorization: `Bearer ${key}` }
    })
  } catch (thrown) {
    if (repeats > 0) {
      return await send({ server, key }, path, body, repeats - 1)
    }
    throw new WorkswardError('PeerUnavailable', { peer: server, reason: describeThrown(thrown) })
  }
}
