/** Sends a statement to a home of its group, in the caller's open transaction if there is one. */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { Answer, Statement } from '../../mysql/types.ts'
import { createRequestKey } from '../ledger/request-key.ts'
import { buildRequestBase, findCallerGroup, findKind, type Caller } from './caller.ts'
import type { Hint } from './hint.ts'

/**
 * Runs a statement and updates the floor of the session.
 *
 * @param caller - the connection
 * @param statement - the statement
 * @param hint - hint of the statement
 * @returns the answer
 * @throws RequestError with the verdict
 */
export async function runPlainStatement (caller: Caller, statement: Statement, hint: Hint): Promise<Answer> {
  const group = findCallerGroup(caller)
  checkStatementSize(statement, group)
  const kind = findKind(caller, hint)
  const isWrite = kind?.access !== 'read'
  if (caller.transactions.open) {
    const answer = await caller.transactions.execute(statement, buildRequestBase(caller, kind), isWrite)
    return checkAnswerRows(answer, findCallerGroup(caller))
  }
  const { session, groupName } = caller
  const { reply } = await caller.requests.send({
    ...buildRequestBase(caller, kind),
    type: 'execute',
    kind: hint.kind,
    statement,
    floor: session.floorOf(groupName),
    readIndex: session.isIdOnly,
    key: chooseKey(kind, hint)
  })
  if (isWrite) {
    caller.session.join(caller.groupName, reply.floor)
  } else {
    caller.session.replace(caller.groupName, reply.floor)
  }
  return checkAnswerRows(reply.answer, group)
}

/**
 * Chooses the request key of a statement outside a transaction. A write that is not declared repeatable needs a key, so
 * that it runs at most once.
 *
 * @param kind - the declared kind; a statement without a kind counts as a write
 * @param hint - hint of the statement, which may contain a key
 * @returns the key; undefined when the statement needs none
 */
export function chooseKey (kind: Kind | undefined, hint: Hint): string | undefined {
  if (kind?.access === 'read') {
    return undefined
  }
  return hint.key ?? (kind?.repeatable === true ? undefined : createRequestKey())
}

function checkStatementSize ({ sql }: Statement, { limits }: Group): void {
  const bytes = Buffer.byteLength(sql)
  if (bytes > limits.statementBytes) {
    throw new RequestError('not-run', 'StatementTooLarge', { bytes, limit: limits.statementBytes })
  }
}

function checkAnswerRows (answer: Answer, { limits }: Group): Answer {
  if (answer.type === 'rows' && answer.rows.length > limits.answerRows) {
    throw new RequestError('ran', 'AnswerTooLarge', { rows: answer.rows.length, limit: limits.answerRows })
  }
  return answer
}
