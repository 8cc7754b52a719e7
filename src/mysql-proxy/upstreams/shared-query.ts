/**
 * Shares a query between concurrent callers. Calls made while a query is in progress wait for the next one, so that
 * every caller gets an answer to a query that was sent after its call.
 */

/**
 * Creates a shared query.
 *
 * @param query - sends the query; not called again before its promise has settled
 * @returns a function that returns the answer to a query sent after the call
 */
export function createSharedQuery<Answer> (query: () => Promise<Answer>): () => Promise<Answer> {
  let current: Promise<Answer> | undefined
  let next: Promise<Answer> | undefined

  const start = async (): Promise<Answer> => {
    const answer = query()
    current = answer
    try {
      return await answer
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
