/** A fair mutex: grants access to one holder at a time, in FIFO order. */
export class ExclusiveAccess {
  private last: Promise<void> = Promise.resolve()

  /**
   * Waits for exclusive access.
   *
   * @returns function that releases the access; must be called once
   */
  async acquire (): Promise<() => void> {
    let release = (): void => {}
    const previous = this.last
    this.last = new Promise<void>((resolve) => { release = resolve })
    await previous
    return release
  }

  /**
   * Runs a function with exclusive access.
   *
   * @param work - the function to run
   * @returns its result
   */
  async during<Result> (work: () => Promise<Result>): Promise<Result> {
    const release = await this.acquire()
    try {
      return await work()
    } finally {
      release()
    }
  }
}
