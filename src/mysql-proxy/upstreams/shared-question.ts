/**
 * Shares one question between calls that wait at the same time: a call during a question waits for the next one, which
 * begins after the call, and all calls until then share it. Owns the question in progress and the next one.
 */

/**
 * Creates a shared question.
 *
 * @param ask - asks once
 * @returns asks with a question sent after the call
 */
export function createSharedQuestion<Answer> (ask: () => Promise<Answer>): () => Promise<Answer> {
  let current: Promise<Answer> | undefined
  let next: Promise<Answer> | undefined

  const start = async (): Promise<Answer> => {
    const asked = ask()
    current = asked
    try {
      return await asked
    } finally {
      current = undefined
    }
  }
  const startNext = async (): Promise<Answer> => {
    next = undefined
    return await start()
  }

  return async () => {
    if (current === undefined) {
      return await start()
    }
    next ??= current.then(startNext, startNext)
    return await next
  }
}
