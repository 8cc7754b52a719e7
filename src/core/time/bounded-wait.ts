/**
 * One wait in a queue that ends when it is served, when it is rejected or when its time is over, whichever comes first;
 * what comes later is ignored. The queue that holds it decides the order; this owns the timer and the promise.
 */

/** Options of {@link createBoundedWait}. */
interface BoundedWaitOptions {
  /** Greatest wait, in milliseconds. */
  timeoutMs: number
  /**
   * Called when the time is over, before the promise is rejected; takes the wait out of its queue.
   *
   * @returns what the promise is rejected with
   */
  onTimeout: () => Error
}

/** A wait with a greatest length. */
export interface BoundedWait<Value> {
  /** Settles when the wait is over. */
  readonly result: Promise<Value>
  readonly isSettled: boolean
  /** Ends the wait with a value. */
  resolve: (value: Value) => void
  /** Ends the wait with an error. */
  reject: (error: Error) => void
}

/**
 * Starts a wait.
 *
 * @param options - the greatest wait, and what happens after it
 * @returns the wait
 */
export function createBoundedWait<Value> ({ timeoutMs, onTimeout }: BoundedWaitOptions): BoundedWait<Value> {
  let isOver = false
  let timer: NodeJS.Timeout | undefined
  let settle: { resolve: (value: Value) => void, reject: (error: Error) => void } | undefined
  const finish = (): typeof settle => {
    if (isOver) {
      return undefined
    }
    isOver = true
    clearTimeout(timer)
    return settle
  }
  const result = new Promise<Value>((resolve, reject) => {
    settle = { resolve, reject }
    timer = setTimeout(() => finish()?.reject(onTimeout()), timeoutMs)
  })
  return {
    result,
    get isSettled () { return isOver },
    resolve: (value) => finish()?.resolve(value),
    reject: (error) => finish()?.reject(error)
  }
}
