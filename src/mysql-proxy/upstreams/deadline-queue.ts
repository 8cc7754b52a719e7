/** Adds tasks with deadlines to a priority queue; a task whose deadline passes while it is queued is not started. */
import type PQueue from 'p-queue'
import { toRequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'

/** Options of {@link enqueue}. */
interface QueuedTask<Result> {
  /** Tasks with a higher priority start first. */
  priority: number
  deadline: Deadline
  run: () => Promise<Result>
  /** Whether the task only acquires a connection; its failure then has the verdict `not-run`. */
  onlyAcquiresConnection?: boolean
}

/**
 * Queues a task and waits for its result.
 *
 * @param queue - the queue
 * @param task - the task
 * @returns the result of the task
 * @throws RequestError `DeadlineExceeded` with verdict `not-run` when the task was not started in time, or the error of
 *   the task
 */
export async function enqueue<Result> (
  queue: PQueue, { priority, deadline, run, onlyAcquiresConnection = false }: QueuedTask<Result>
): Promise<Result> {
  return await new Promise<Result>((resolve, reject) => {
    let startedOrExpired = false
    const timer = setTimeout(() => {
      if (!startedOrExpired) {
        startedOrExpired = true
        reject(deadline.exceeded('not-run', 'queueing for an upstream'))
      }
    }, deadline.leftMs)
    const start = async (): Promise<void> => {
      if (startedOrExpired) {
        return
      }
      startedOrExpired = true
      clearTimeout(timer)
      try {
        resolve(await run())
      } catch (thrown) {
        reject(toRequestError(thrown, onlyAcquiresConnection ? 'not-run' : 'may-have-run'))
      }
    }
    void queue.add(start, { priority })
  })
}
