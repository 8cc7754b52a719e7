/** Attempts that overlap, for calls without effects to a service that may have gone silent. */

/** Options of {@link firstOfOverlapping}. */
interface OverlappingOptions {
  /** Time after which a further attempt begins while none has ended, in milliseconds. */
  intervalMs: number
  /** Maximum number of attempts. */
  maximum: number
}

/**
 * Starts an attempt, and another one after each interval without a result. The first success counts. A failure of the
 * first attempt ends the wait as well, since the service has answered it, or it has reached its own time limit.
 *
 * @param attempt - the attempt
 * @param options - interval and number of attempts
 * @returns the first result
 * @throws the error of the first attempt
 */
export async function firstOfOverlapping<Result> (
  attempt: () => Promise<Result>, { intervalMs, maximum }: OverlappingOptions
): Promise<Result> {
  return await new Promise((resolve, reject) => {
    let started = 1
    const timer = setInterval(() => {
      started++
      if (started >= maximum) {
        clearInterval(timer)
      }
      attempt().then(finish, () => {})
    }, intervalMs)
    const finish = (result: Result): void => {
      clearInterval(timer)
      resolve(result)
    }
    attempt().then(finish, (thrown: unknown) => {
      clearInterval(timer)
      reject(thrown)
    })
  })
}
