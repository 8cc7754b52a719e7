/** Sends a statement to a home of its group: in the caller's transaction, or on its own. */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Answer, Statement } from '../../mysql/types.ts'
import { createRequestKey } from '../ledger/request-key.ts'
import { buildRequestBase, findCallerGroup, findKind, type Caller } from './caller.ts'
import type { Hint } from './hint.ts'

/**
 * Runs a statement.
 *
 * @param caller - the connection
 * @param statement - the statement
 * @param hint - what the statement declares
 * @returns the answer
 * @throws RequestError with the verdict
 */
export async function runPlainStatement (caller: Caller, statement: Statement, hint: Hint): Promise<Answer> {
  const group = findCallerGroup(caller)
  checkSize(statement, group)
  const kind = findKind(caller, hint)
  const isWrite = kind?.access !== 'read'
  if (caller.transactions.open) {
    const answer = await caller.transactions.execute(statement, buildRequestBase(caller, kind), isWrite)
    return checkRows(answer, findCallerGroup(caller))
  }
  const { session, groupName } = caller
  const { reply } = await caller.requests.send({
    ...buildRequestBase(caller, kind),
    type: 'execute',
    kind: hint.kind,
    statement,
    floor: session.floorOf(groupName),
    readIndex: session.isBareId,
    key: chooseKey(kind, hint)
  })
  if (isWrite) {
    caller.session.join(caller.groupName, reply.floor)
  } else {
    caller.session.replace(caller.groupName, reply.floor)
  }
  return checkRows(reply.answer, group)
}

/**
 * Chooses the request key of a statement outside a transaction. A write that is not declared repeatable needs one, so
 * that it runs once at most.
 *
 * @param kind - the declared kind; a statement without one counts as a write
 * @param hint - what the statement declares, with the caller's own key
 * @returns the key, or undefined when the statement needs none
 */
export function chooseKey (kind: Kind | undefined, hint: Hint): string | undefined {
  if (kind?.access === 'read') {
    return undefined
  }
  return hint.key ?? (kind?.repeatable === true ? undefined : createRequestKey())
}

function checkSize ({ sql }: Statement, { limits }: Group): void {
  const bytes = Buffer.byteLength(sql)
  if (bytes > limits.statementBytes) {
    throw new RequestError('not-run', 'StatementTooLarge', { bytes, limit: limits.statementBytes })
  }
}

function checkRows (answer: Answer, { limits }: Group): Answer {
  if (answer.type === 'rows' && answer.rows.length > limits.answerRows) {
    throw new RequestError('ran', 'AnswerTooLarge', { rows: answer.rows.length, limit: limits.answerRows })
  }
  return answer
}
