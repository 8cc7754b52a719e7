/**
 * Queues tasks, each with a deadline after which it is not started. Owns nothing; relies on `p-queue` for the order.
 */
import type PQueue from 'p-queue'
import { toRequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'

/** Options of {@link enqueue}. */
interface QueuedTask<Result> {
  /** Higher goes first. */
  priority: number
  deadline: Deadline
  run: () => Promise<Result>
  /** Whether nothing has run at the upstream when the task fails: it only takes a connection. */
  onlyTakesConnection?: boolean
}

/**
 * Queues a task; it leaves the queue when its deadline passes before it starts.
 *
 * @param queue - the queue
 * @param task - the task
 * @returns what the task returned
 * @throws RequestError `DeadlineExceeded` with verdict `not-run`, or what the task failed with
 */
export async function enqueue<Result> (
  queue: PQueue, { priority, deadline, run, onlyTakesConnection = false }: QueuedTask<Result>
): Promise<Result> {
  return await new Promise<Result>((resolve, reject) => {
    let started = false
    const timer = setTimeout(() => {
      if (!started) {
        started = true
        reject(deadline.exceeded('not-run', 'queueing for an upstream'))
      }
    }, deadline.leftMs)
    const start = async (): Promise<void> => {
      if (started) {
        return
      }
      started = true
      clearTimeout(timer)
      try {
        resolve(await run())
      } catch (thrown) {
        reject(toRequestError(thrown, onlyTakesConnection ? 'not-run' : 'may-have-run'))
      }
    }
    void queue.add(start, { priority })
  })
}
