/** Calls a service of the platform; every failure becomes the one error that callers of `storage/` handle. */
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'

/**
 * Calls a service.
 *
 * @param operation - name of the operation, for the error
 * @param send - sends the request
 * @returns what the service answered
 * @throws WorkswardError `PlatformUnavailable`; what was sent may have been done
 */
export async function callPlatform<Result> (operation: string, send: () => Promise<Result>): Promise<Result> {
  try {
    return await send()
  } catch (thrown) {
    throw new WorkswardError('PlatformUnavailable', { operation, reason: describeThrown(thrown) })
  }
}
