/**
 * A promise that is resolved or rejected from outside, and rejected on timeout. Only the first outcome counts. Queues
 * hold these for their waiting entries.
 */

/** Options of {@link createBoundedWait}. */
interface BoundedWaitOptions {
  /** Timeout, in milliseconds. */
  timeoutMs: number
  /**
   * Called on timeout, before the promise is rejected; removes the wait from its queue.
   *
   * @returns the error to reject the promise with
   */
  onTimeout: () => Error
}

/** A wait with a timeout. */
export interface BoundedWait<Value> {
  /** Settles when the wait ends. */
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
 * @param options - the timeout and its handler
 * @returns the wait
 */
export function createBoundedWait<Value> ({ timeoutMs, onTimeout }: BoundedWaitOptions): BoundedWait<Value> {
  let isSettled = false
  let timer: NodeJS.Timeout | undefined
  let callbacks: { resolve: (value: Value) => void, reject: (error: Error) => void } | undefined
  const finish = (): typeof callbacks => {
    if (isSettled) {
      return undefined
    }
    isSettled = true
    clearTimeout(timer)
    return callbacks
  }
  const result = new Promise<Value>((resolve, reject) => {
    callbacks = { resolve, reject }
    timer = setTimeout(() => finish()?.reject(onTimeout()), timeoutMs)
  })
  return {
    result,
    get isSettled () { return isSettled },
    resolve: (value) => finish()?.resolve(value),
    reject: (error) => finish()?.reject(error)
  }
}
