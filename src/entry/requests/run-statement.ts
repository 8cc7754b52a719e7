/**
 * Runs one statement on a leased connection.
 *
 * When does an upstream count as silent? When it has answered nobody for {@link SILENCE_MS} since the statement was
 * sent; the caller of this module is notified, and decides whether the statement is given up. The upstream is then
 * asked, which costs one of its slots for 12 ms when it is only slow.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import { alignValues, prepareOn, SILENCE_MS, type ConnectionLease, type UsedUpstream } from '../pools/index.ts'
import type { StatementAnswer, UpstreamCommand } from '../ports/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { DataWork } from './types.ts'

/** The command that runs a statement; `name` is the prepared statement's name on the connection. */
function commandOf (work: DataWork, name: string, after?: LogPosition): UpstreamCommand {
  const { requestId } = work
  return work.type === 'data'
    ? { type: 'data', requestId, text: work.text, after }
    : { type: 'execute', requestId, name, parameters: work.parameters, after }
}

/** Options of {@link runCommand}. */
export interface RunOptions {
  used: UsedUpstream
  lease: ConnectionLease
  deadline: Deadline
  /** Records the time at the upstream, by outcome. */
  onTime: (outcome: string, durationMs: number) => void
  /** Called when the upstream has answered nobody since the statement was sent; true gives the statement up. */
  onSilence: () => boolean
}

/** An answer, and when its question was sent on the steady clock. */
export interface TimedAnswer {
  answer: StatementAnswer
  sentAt: number
  /** Time that the upstream took, in milliseconds; 0 when it is not known. */
  ranMs: number
  /** Epoch in which the upstream answered as the primary; undefined when it need not have been one. */
  epoch?: number
}

/**
 * Runs a command and waits for its answer. A connection whose answer is lost or late is closed.
 *
 * @param command - the command
 * @param options - the connection and the time
 * @returns the answer
 * @throws RequestError `ConnectionLost` or `DeadlineExceeded`; the lease has been discarded
 */
export async function runCommand (command: UpstreamCommand, options: RunOptions): Promise<TimedAnswer> {
  const { used, lease, deadline } = options
  const sentAt = performance.now()
  let giveUp = (): void => {}
  const givenUp = new Promise<never>((_resolve, reject) => {
    giveUp = () => reject(new RequestError('may-have-run', 'ConnectionLost', {
      upstream: used.pool.target.upstream, reason: `no answer for ${SILENCE_MS} ms`
    }))
  })
  const watch = setInterval(() => {
    if (used.health.lastAnswerAt < sentAt && options.onSilence()) {
      giveUp()
    }
  }, SILENCE_MS)
  used.health.asked()
  try {
    const pending = Promise.race([lease.connection.run(command), givenUp])
    const answer = await deadline.race(pending, 'may-have-run', `waiting for ${used.pool.target.upstream}`)
    used.health.answered()
    const ranMs = performance.now() - sentAt
    used.health.recordLatency(ranMs)
    options.onTime(answer.failure?.kind ?? 'done', ranMs)
    return { answer, sentAt, ranMs }
  } catch (thrown) {
    lease.discard()
    options.onTime('lost', performance.now() - sentAt)
    throw thrown
  } finally {
    clearInterval(watch)
    used.health.ended()
  }
}

/**
 * Brings a connection to the state of a session and runs a statement there.
 *
 * @param work - the statement
 * @param values - the session's values
 * @param after - position that the upstream's log must have reached
 * @param options - the connection and the time
 * @param maySend - asked right before the statement is sent
 * @returns the answer
 * @throws RequestError with verdict `not-run` when the statement was not sent; the lease has been discarded
 */
export async function runWork (
  work: DataWork, values: ReadonlyMap<string, string>, after: LogPosition | undefined,
  options: RunOptions, maySend: () => boolean = () => true
): Promise<TimedAnswer> {
  const { lease, deadline } = options
  let name = ''
  try {
    await deadline.race(alignValues(lease, values), 'not-run', 'setting session values')
    if (work.type === 'execute') {
      name = await deadline.race(prepareOn(lease, work.prepared), 'not-run', 'preparing the statement')
    }
  } catch (thrown) {
    lease.discard()
    throw toRequestError(thrown, 'not-run', true)
  }
  if (!maySend()) {
    lease.release()
    const group = options.used.pool.target.group
    throw new RequestError('not-run', 'NoUpstream', { group, reason: 'the primary has changed', retryAfterMs: 0 })
  }
  const result = await runCommand(commandOf(work, name, after), options)
  if (result.answer.failure?.kind === 'unknown-statement') {
    lease.prepared.clear()
  }
  return result
}
