/** Notifies those who wait for it that something has changed. */
export class ChangeSignal {
  private readonly listeners = new Set<() => void>()

  /** Notifies all who wait now. */
  notify (): void {
    const told = [...this.listeners]
    this.listeners.clear()
    told.forEach((listener) => listener())
  }

  /**
   * Waits for the next change.
   *
   * @param timeoutMs - greatest wait, in milliseconds
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
