/** Converts every failure of a platform service to `PlatformUnavailable`, the only error that `storage/` throws. */
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'

/**
 * Calls a platform service.
 *
 * @param operation - name of the operation, for the error
 * @param send - sends the request
 * @returns the response
 * @throws WorkswardError `PlatformUnavailable`; the operation may have been executed nevertheless
 */
export async function callPlatform<Result> (operation: string, send: () => Promise<Result>): Promise<Result> {
  try {
    return await send()
  } catch (thrown) {
    throw new WorkswardError('PlatformUnavailable', { operation, reason: describeThrown(thrown) })
  }
}
