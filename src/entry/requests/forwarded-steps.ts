/** Steps and their answers as they travel between a host and a home; the frames are in `homes/messages.ts`. */
import { RequestError } from '../../core/errors/index.ts'
import type { HomeReply, Step } from '../homes/index.ts'
import type { StatementAnswer } from '../ports/index.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { TransactionStep } from './statement-executor.ts'
import type { DataWork } from './types.ts'

/**
 * Encodes a step for a home.
 *
 * @param step - the step
 * @returns its part of the frame
 */
export function encodeStep (step: TransactionStep): Step {
  if (step.type === 'commit') {
    return { type: 'commit', text: step.text }
  }
  const { work } = step
  return work.type === 'data'
    ? { type: 'data', access: work.access, text: work.text }
    : { type: 'execute', prepared: work.prepared, parameters: work.parameters }
}

/**
 * Decodes a statement that another host forwards.
 *
 * @param requestId - id of the caller's request
 * @param step - its part of the frame
 * @returns the statement
 * @throws RequestError `UnsupportedStatement` for a commit
 */
export function decodeWork (requestId: string, step: Step): DataWork {
  if (step.type === 'commit') {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'a commit outside a transaction' })
  }
  return step.type === 'data'
    ? { type: 'data', requestId, access: step.access, text: step.text }
    : { type: 'execute', requestId, access: step.prepared.access, prepared: step.prepared, parameters: step.parameters }
}

/**
 * Decodes a step that another host forwards.
 *
 * @param requestId - id of the caller's request
 * @param step - its part of the frame
 * @returns the step
 */
export function decodeStep (requestId: string, step: Step): TransactionStep {
  return step.type === 'commit'
    ? { type: 'commit', requestId, text: step.text }
    : { type: 'work', work: decodeWork(requestId, step) }
}

/**
 * Returns an answer that a home reports, timed by this host's clock.
 *
 * @param sentAt - when the question was sent, on the steady clock
 * @param reply - the home's reply
 * @param answer - the answer within the reply
 * @returns the answer
 */
export function timedAnswerOf (
  sentAt: number, { epoch, ranMs = 0 }: HomeReply, answer: NonNullable<HomeReply['answer']>
): TimedAnswer {
  return { answer: answer as StatementAnswer, sentAt, epoch, ranMs }
}

/**
 * Returns the error of a step for which a home reports no answer.
 *
 * @param upstream - where it was to run
 * @param reply - the home's reply
 * @returns the error, with the verdict on whether the step may have run
 */
export function lostAnswerError (upstream: string, { lost }: HomeReply): RequestError {
  return new RequestError(lost?.verdict ?? 'may-have-run', 'ConnectionLost', {
    upstream, reason: lost?.reason ?? 'no answer'
  })
}
