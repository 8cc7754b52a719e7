/** Attempts that overlap, for calls without effects to a service that may have gone silent. */

/** Options of {@link firstOfOverlapping}. */
interface OverlappingOptions {
  /** Time after which a further attempt begins while none has ended or is being answered, in milliseconds. */
  intervalMs: number
  /** Maximum number of attempts. */
  maximum: number
}

/**
 * Starts an attempt, and another one after each interval without an answer. The first success counts. A failure of the
 * first attempt ends the wait as well, since the service has answered it, or it has reached its own time limit; but not
 * while another attempt is being answered, which may take long on a narrow link.
 *
 * @param attempt - the attempt; calls its argument when its answer begins to arrive
 * @param options - interval and number of attempts
 * @returns the first result
 * @throws the error of the first attempt
 */
export async function firstOfOverlapping<Result> (
  attempt: (onAnswering: () => void) => Promise<Result>, { intervalMs, maximum }: OverlappingOptions
): Promise<Result> {
  return await new Promise((resolve, reject) => {
    const answering = new Set<number>()
    let started = 0
    let firstFailure: { thrown: unknown } | undefined

    const start = (): void => {
      const number = started++
      if (started >= maximum) {
        clearInterval(timer)
      }
      attempt(() => {
        answering.add(number)
        clearInterval(timer)
      }).then((result) => {
        clearInterval(timer)
        resolve(result)
      }, (thrown: unknown) => {
        answering.delete(number)
        firstFailure = number === 0 ? { thrown } : firstFailure
        if (firstFailure !== undefined && answering.size === 0) {
          clearInterval(timer)
          reject(firstFailure.thrown)
        }
      })
    }
    const timer = setInterval(start, intervalMs)
    start()
  })
}
