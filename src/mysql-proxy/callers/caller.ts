/** State of one caller's connection, and the common fields of its requests to homes. */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import { ownValue } from '../../core/own-value.ts'
import type { HomeRequests } from '../routing/home-requests.ts'
import type { CallerTransactions, RequestBase } from './caller-transaction.ts'
import type { Hint } from './hint.ts'
import type { SessionFloors } from './session-floors.ts'

/** Deadline of a statement without a declared kind, in milliseconds. */
const DEFAULT_DEADLINE_MS = 5000

/** State of a caller's connection. */
export interface Caller {
  readonly service: string
  /** Name of the group selected as the database of the connection. */
  groupName: string
  /** Hint for statements that do not override it. */
  defaults: Hint
  session: SessionFloors
  readonly transactions: CallerTransactions
  readonly requests: HomeRequests
  /** Returns the current declarations of a group. */
  readonly findGroup: (name: string) => Group | undefined
}

/**
 * Finds the group of a connection.
 *
 * @param caller - the connection
 * @returns the current declarations of the group
 * @throws RequestError `UnknownGroup` with verdict `not-run`
 */
export function findCallerGroup ({ groupName, findGroup }: Caller): Group {
  const group = findGroup(groupName)
  if (group === undefined) {
    throw new RequestError('not-run', 'UnknownGroup', { group: groupName })
  }
  return group
}

/**
 * Finds the declared kind of a statement.
 *
 * @param caller - the connection
 * @param hint - hint of the statement
 * @returns the kind; undefined when the statement declares none
 * @throws RequestError `UnknownKind` or `UnknownGroup` with verdict `not-run`
 */
export function findKind (caller: Caller, hint: Hint): Kind | undefined {
  if (hint.kind === undefined) {
    return undefined
  }
  const { service } = caller
  const kinds = ownValue(findCallerGroup(caller).services, service)?.kinds ?? {}
  const kind = ownValue(kinds, hint.kind)
  if (kind === undefined) {
    throw new RequestError('not-run', 'UnknownKind', { kind: hint.kind, service, known: Object.keys(kinds) })
  }
  return kind
}

/**
 * Builds the common fields of a request to a home.
 *
 * @param caller - the connection
 * @param kind - the declared kind, if any; determines the deadline
 * @returns group, service and deadline
 */
export function buildRequestBase (
  { groupName, service }: Pick<Caller, 'groupName' | 'service'>, kind: Kind | undefined
): RequestBase {
  return { group: groupName, service, deadlineMs: kind?.deadlineMs ?? DEFAULT_DEADLINE_MS }
}

/**
 * Selects a group as the database of a connection.
 *
 * @param caller - the connection
 * @param database - name of the group
 * @throws RequestError `UnsupportedStatement` while a transaction is open; `UnknownGroup` when the group does not exist
 * or does not declare the caller's service
 */
export function selectCallerDatabase (caller: Caller, database: string): void {
  if (caller.transactions.open) {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'a transaction is open' })
  }
  const group = caller.findGroup(database)
  if (group === undefined || ownValue(group.services, caller.service) === undefined) {
    throw new RequestError('not-run', 'UnknownGroup', { group: database })
  }
  caller.groupName = database
}
