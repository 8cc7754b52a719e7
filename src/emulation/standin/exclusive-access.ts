/** Lets one user at a time at something, in the order in which they ask. */
export class ExclusiveAccess {
  private last: Promise<void> = Promise.resolve()

  /**
   * Waits for access.
   *
   * @returns ends the access; must be called once
   */
  async acquire (): Promise<() => void> {
    let release = (): void => {}
    const previous = this.last
    this.last = new Promise<void>((resolve) => { release = resolve })
    await previous
    return release
  }

  /**
   * Does work with access.
   *
   * @param work - the work
   * @returns what the work returned
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
