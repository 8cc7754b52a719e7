/** Operations that wait on this host for a grant of their organisation's limit or for their turn. */
import type { RequestError } from '../../core/errors/index.ts'
import type { PriorityRequest } from './limit-frames.ts'

/** Holder of the function that ends the wait of a request, such as the caller's session. */
interface WaitHolder {
  /** Ends the wait in progress; undefined while nothing waits. */
  cancelWait?: (() => void) | undefined
}

/** An operation to take. */
export interface OperationRequest {
  /** 0 is the most urgent. */
  priority: number
  /** Longest wait for a turn, in milliseconds. */
  maximumWaitMs: number
  /** The caller's own time, which bounds the retry delay of a refusal, in milliseconds. */
  timeoutMs?: number
  /** Gets the function that ends the wait. */
  holder?: WaitHolder
}

/** An operation that waits for a grant. */
export interface WaitingOperation {
  request: OperationRequest
  resolve: (takenAt: number) => void
  reject: (error: RequestError) => void
}

/**
 * Groups waiting operations by priority.
 *
 * @param waiting - the operations
 * @param owed - operations that have run without a grant; they are requested with the most urgent ones
 * @returns the requests, the most urgent first, each with the shortest wait of its operations
 */
export function requestsOf (waiting: readonly WaitingOperation[], owed: number): PriorityRequest[] {
  const requests: PriorityRequest[] = []
  for (const { request: { priority, maximumWaitMs } } of waiting) {
    const known = requests.find((request) => request.priority === priority)
    if (known === undefined) {
      requests.push({ priority, wanted: 1, maximumWaitMs })
    } else {
      known.wanted++
      known.maximumWaitMs = Math.min(known.maximumWaitMs, maximumWaitMs)
    }
  }
  requests.sort((left, right) => left.priority - right.priority)
  if (requests[0] !== undefined) {
    requests[0].wanted += owed
  }
  return requests
}
