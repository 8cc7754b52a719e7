/** Waiting for a condition that others make true. */

/** Those who wait for something. */
interface Waiters {
  /**
   * Waits until something is there, for a bounded time.
   *
   * @param look - finds it; undefined while it is not there
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns what was found; undefined when time ran out
   */
  until: <Value>(look: () => Value | undefined, timeoutMs: number) => Promise<Value | undefined>
  /** Lets all who wait look again. */
  notify: () => void
}

/**
 * Creates waiters; nobody waits yet.
 *
 * @returns the waiters
 */
export function createWaiters (): Waiters {
  const looks = new Set<() => void>()
  return {
    until: async (look, timeoutMs) => {
      const found = look()
      if (found !== undefined || timeoutMs <= 0) {
        return found
      }
      return await new Promise((resolve) => {
        const finish = (value: ReturnType<typeof look>): void => {
          clearTimeout(timer)
          looks.delete(again)
          resolve(value)
        }
        const again = (): void => {
          const value = look()
          if (value !== undefined) {
            finish(value)
          }
        }
        const timer = setTimeout(() => finish(look()), timeoutMs)
        looks.add(again)
      })
    },
    notify: () => [...looks].forEach((look) => look())
  }
}
