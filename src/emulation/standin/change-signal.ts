/** Wakes waiting callers when a change is signalled. */
export class ChangeSignal {
  private readonly listeners = new Set<() => void>()

  /** Wakes all current waiters. */
  notify (): void {
    const notified = [...this.listeners]
    this.listeners.clear()
    notified.forEach((listener) => listener())
  }

  /**
   * Waits for the next change or the timeout.
   *
   * @param timeoutMs - maximum wait, in milliseconds
   */
  async wait (timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer)
        this.listeners.delete(done)
        resolve()
      }
      const timer = setTimeout(done, timeoutMs)
      this.listeners.add(done)
    })
  }
}
