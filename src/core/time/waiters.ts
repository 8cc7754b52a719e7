/** Waits for conditions that other parts of the process fulfil, for example to answer a long poll. */

/** A set of waits that are checked together. */
interface Waiters {
  /**
   * Waits until a value is available, at most until the timeout.
   *
   * @param getValue - returns the value, or undefined while there is none
   * @param timeoutMs - timeout, in milliseconds
   * @returns the value, or undefined on timeout
   */
  until: <Value>(getValue: () => Value | undefined, timeoutMs: number) => Promise<Value | undefined>
  /** Rechecks the conditions of all waits. */
  notify: () => void
}

/**
 * Creates an empty set of waits.
 *
 * @returns the waiters
 */
export function createWaiters (): Waiters {
  const pendingChecks = new Set<() => void>()
  return {
    until: async (getValue, timeoutMs) => {
      const found = getValue()
      if (found !== undefined || timeoutMs <= 0) {
        return found
      }
      return await new Promise((resolve) => {
        const finish = (value: ReturnType<typeof getValue>): void => {
          clearTimeout(timer)
          pendingChecks.delete(check)
          resolve(value)
        }
        const check = (): void => {
          const value = getValue()
          if (value !== undefined) {
            finish(value)
          }
        }
        const timer = setTimeout(() => finish(getValue()), timeoutMs)
        pendingChecks.add(check)
      })
    },
    notify: () => [...pendingChecks].forEach((check) => check())
  }
}
