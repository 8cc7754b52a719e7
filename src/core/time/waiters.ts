/** Waits for conditions that other parts of the process make true, as a long poll does. */

/** Waits for conditions. */
interface Waiters {
  /**
   * Waits until a value is found, for a bounded time.
   *
   * @param look - looks for the value; undefined while there is none
   * @param timeoutMs - greatest wait, in milliseconds
   * @returns the value; undefined when there was none in time
   */
  until: <Value>(look: () => Value | undefined, timeoutMs: number) => Promise<Value | undefined>
  /** Makes all waits look again. */
  notify: () => void
}

/**
 * Creates a set of waits; none is in progress yet.
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
