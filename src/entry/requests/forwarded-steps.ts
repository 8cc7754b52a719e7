/** Converts transaction steps and answers to and from the frames between hosts, which `homes/messages.ts` defines. */
import { RequestError } from '../../core/errors/index.ts'
import { fingerprintOf } from '../../core/memory/fingerprint.ts'
import type { HomeReply, Step } from '../homes/index.ts'
import type { SessionValues } from '../pools/index.ts'
import type { PreparedShape, StatementAnswer } from '../ports/index.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { TransactionStep } from './statement-executor.ts'
import type { ExecutableStatement } from './types.ts'

/**
 * Encodes a step that is forwarded to a home.
 *
 * @param step - the step
 * @returns the step as it is sent in the frame
 */
export function encodeStep (step: TransactionStep): Step {
  if (step.type === 'commit') {
    return { type: 'commit', text: step.text }
  }
  const { statement } = step
  return statement.type === 'data'
    ? { type: 'data', access: statement.access, text: statement.text }
    : { type: 'execute', prepared: shapeOf(statement.prepared), parameters: statement.parameters }
}

function shapeOf ({ access, shape }: PreparedShape): PreparedShape {
  return { access, shape }
}

/**
 * Decodes the session values of a caller of another host.
 *
 * @param values - names and values in the frame
 * @returns the values
 */
export function decodeValues (values: Array<[string, string]>): SessionValues {
  return new Map(values.map(([name, text]) => [fingerprintOf(name), { name, text, fingerprint: fingerprintOf(text) }]))
}

/**
 * Decodes a single statement that another host forwards.
 *
 * @param requestId - id of the caller's request
 * @param step - the step in the frame
 * @returns the statement
 * @throws RequestError `UnsupportedStatement` for a commit
 */
export function decodeStatement (requestId: string, step: Step): ExecutableStatement {
  if (step.type === 'commit') {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'a commit outside a transaction' })
  }
  if (step.type === 'data') {
    return { type: 'data', requestId, access: step.access, text: step.text }
  }
  const { prepared: { access, shape }, parameters } = step
  return { type: 'execute', requestId, access, prepared: { access, shape, fingerprint: fingerprintOf(shape) }, parameters }
}

/**
 * Decodes a step that another host forwards.
 *
 * @param requestId - id of the caller's request
 * @param step - the step in the frame
 * @returns the decoded step
 */
export function decodeStep (requestId: string, step: Step): TransactionStep {
  return step.type === 'commit'
    ? { type: 'commit', requestId, text: step.text }
    : { type: 'statement', statement: decodeStatement(requestId, step) }
}

/**
 * Combines an answer from a home's reply with the time at which this host sent the request.
 *
 * @param sentAt - when the request was sent, on the monotonic clock of this host
 * @param reply - the home's reply
 * @param answer - the answer within the reply
 * @returns the answer with its times
 */
export function toTimedAnswer (
  sentAt: number, { epoch, ranMs = 0 }: HomeReply, answer: NonNullable<HomeReply['answer']>
): TimedAnswer {
  return { answer: answer as StatementAnswer, sentAt, epoch, ranMs }
}

/**
 * Returns the error of a step whose reply contains no answer.
 *
 * @param upstream - upstream of the step
 * @param reply - the home's reply
 * @returns the error, with the verdict on whether the step may have run
 */
export function lostAnswerError (upstream: string, { lost }: HomeReply): RequestError {
  return new RequestError(lost?.verdict ?? 'may-have-run', 'ConnectionLost', {
    upstream, reason: lost?.reason ?? 'no answer'
  })
}
