/**
 * Runs one statement on a leased connection. If the upstream answers no statement for {@link SILENCE_MS}, the caller of
 * this module is notified and decides whether to abandon the statement. The upstream is then probed, which costs one of
 * its slots for 12 ms if it is only slow.
 */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { startInputTimer } from '../../core/time/arrived-input.ts'
import type { Deadline } from '../../core/time/deadline.ts'
import { startTimer } from '../../core/time/running-timer.ts'
import {
  applySessionValues, ensurePrepared, SILENCE_MS, type ConnectionLease, type SessionValues, type UpstreamResources
} from '../pools/index.ts'
import type { StatementAnswer, UpstreamCommand } from '../ports/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import type { ExecutableStatement } from './types.ts'

/** Creates the command that runs a statement; `name` is the name of its prepared statement on the connection. */
function commandOf (statement: ExecutableStatement, name: string, after?: LogPosition): UpstreamCommand {
  const { requestId } = statement
  return statement.type === 'data'
    ? { type: 'data', requestId, text: statement.text, after }
    : { type: 'execute', requestId, name, parameters: statement.parameters, after }
}

/** Options of {@link runCommand}. */
export interface RunOptions {
  resources: UpstreamResources
  lease: ConnectionLease
  deadline: Deadline
  /**
   * Called in the same tick in which the command is sent.
   *
   * @returns the epoch in which the answer proves the position of the primary's log; undefined if it proves none
   * @throws RequestError with verdict `not-run` if the command must not be sent
   */
  admit: () => number | undefined
  /** Called with the outcome and the time at the upstream. */
  onFinished: (outcome: string, durationMs: number) => void
  /** Called while the upstream has answered nothing since the statement was sent; returns true to abandon it. */
  onSilence: () => boolean
}

/** An answer and its times. */
export interface TimedAnswer {
  answer: StatementAnswer
  /** When the statement was sent, on the monotonic clock. */
  sentAt: number
  /** Time that the upstream took, in milliseconds; 0 if unknown. */
  ranMs: number
  /** Epoch for which this host held the lease on the upstream when it sent the statement; undefined without a lease. */
  epoch?: number
}

/**
 * Waits for the answer to a command with one timer at a time: until the next check for silence, or until an earlier
 * deadline. Most answers come before the first check.
 */
async function waitForAnswer (
  pending: Promise<StatementAnswer>, sentAt: number, { resources, deadline, onSilence }: RunOptions
): Promise<StatementAnswer> {
  const { health, pool: { target: { upstream } } } = resources
  const endsAt = performance.now() + deadline.leftMs
  return await new Promise((resolve, reject) => {
    let cancelTimer = (): void => {}
    const wait = (): void => {
      const leftMs = endsAt - performance.now()
      cancelTimer = leftMs < SILENCE_MS
        ? startInputTimer(() => reject(deadline.exceeded('may-have-run', `waiting for ${upstream}`)), leftMs)
        : startTimer(checkSilence, SILENCE_MS)
    }
    const checkSilence = (): void => {
      if (health.lastAnswerAt < sentAt && onSilence()) {
        const reason = `no answer for ${SILENCE_MS} ms`
        reject(new RequestError('may-have-run', 'ConnectionLost', { upstream, reason }))
      } else {
        wait()
      }
    }
    wait()
    pending.then((answer) => {
      cancelTimer()
      resolve(answer)
    }, (thrown: unknown) => {
      cancelTimer()
      reject(thrown)
    })
  })
}

/**
 * Runs a command and waits for its answer. Closes the connection if the answer is lost or late.
 *
 * @param command - the command
 * @param options - connection, deadline and callbacks
 * @returns the answer
 * @throws RequestError `ConnectionLost` or `DeadlineExceeded`; the lease has been discarded. Also what `admit` throws.
 */
export async function runCommand (command: UpstreamCommand, options: RunOptions): Promise<TimedAnswer> {
  const { resources, lease } = options
  const sentAt = performance.now()
  const epoch = options.admit()
  resources.health.recordRequestStart()
  try {
    const answer = await waitForAnswer(lease.connection.run(command), sentAt, options)
    resources.health.recordAnswer()
    const ranMs = performance.now() - sentAt
    resources.health.recordLatency(ranMs)
    options.onFinished(answer.failure?.kind ?? 'done', ranMs)
    return { answer, sentAt, ranMs, epoch }
  } catch (thrown) {
    lease.discard()
    options.onFinished('lost', performance.now() - sentAt)
    throw thrown
  } finally {
    resources.health.recordRequestEnd()
  }
}

/**
 * Sets the session values on a connection, then makes further preparations.
 *
 * @throws RequestError with verdict `not-run`; the lease has been discarded
 */
async function prepareConnection<Result> (
  { lease, deadline }: RunOptions, values: SessionValues, prepare: () => Promise<Result>
): Promise<Result> {
  try {
    if (values.size > 0 || lease.values.size > 0) {
      await deadline.race(applySessionValues(lease, values), 'not-run', 'setting session values')
    }
    return await prepare()
  } catch (thrown) {
    lease.discard()
    throw toRequestError(thrown, 'not-run', true)
  }
}

/**
 * Sets the session values that have changed since the last statement of a transaction, and commits it.
 *
 * @param commit - the commit
 * @param values - the session's values
 * @param options - connection, deadline and callbacks
 * @returns the answer
 * @throws RequestError with verdict `not-run` if the commit was not sent; the lease has been discarded unless `admit`
 * has thrown
 */
export async function runCommit (
  commit: Extract<UpstreamCommand, { type: 'commit' }>, values: SessionValues, options: RunOptions
): Promise<TimedAnswer> {
  await prepareConnection(options, values, async () => {})
  return await runCommand(commit, options)
}

/**
 * Sets the session values on a connection, prepares the statement if necessary, and runs it.
 *
 * @param statement - the statement
 * @param values - the session's values
 * @param after - position that the upstream's log must have reached
 * @param options - connection, deadline and callbacks
 * @returns the answer
 * @throws RequestError with verdict `not-run` if the statement was not sent; the lease has been discarded unless
 * `admit` has thrown
 */
export async function runStatement (
  statement: ExecutableStatement, values: SessionValues, after: LogPosition | undefined,
  options: RunOptions
): Promise<TimedAnswer> {
  const { lease, deadline } = options
  const name = await prepareConnection(options, values, async () => statement.type === 'execute'
    ? await deadline.race(ensurePrepared(lease, statement.prepared), 'not-run', 'preparing the statement')
    : '')
  const result = await runCommand(commandOf(statement, name, after), options)
  if (result.answer.failure?.kind === 'unknown-statement') {
    lease.prepared.clear()
  }
  return result
}
