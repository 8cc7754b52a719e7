/** State of one caller's connection, and what its requests to homes carry. */
import type { Group, Kind } from '../../core/config/index.ts'
import { RequestError } from '../../core/errors/index.ts'
import type { HomeRequests } from '../routing/home-requests.ts'
import type { CallerTransactions, RequestBase } from './caller-transaction.ts'
import type { Hint } from './hint.ts'
import type { SessionFloors } from './session-floors.ts'

/** Time a statement without a declared kind may take, in milliseconds. */
const DEFAULT_DEADLINE_MS = 5000

/** A caller's connection. */
export interface Caller {
  readonly service: string
  /** Name of the group that is the connection's database. */
  groupName: string
  /** What statements declare that do not say otherwise. */
  defaults: Hint
  session: SessionFloors
  readonly transactions: CallerTransactions
  readonly requests: HomeRequests
  /** Returns a group in force. */
  readonly findGroup: (name: string) => Group | undefined
}

/**
 * Finds the group of a connection.
 *
 * @param caller - the connection
 * @returns the group in force
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
 * @param hint - what the statement declares
 * @returns the kind, or undefined when the statement names none
 * @throws RequestError `UnknownKind` or `UnknownGroup` with verdict `not-run`
 */
export function findKind (caller: Caller, hint: Hint): Kind | undefined {
  if (hint.kind === undefined) {
    return undefined
  }
  const { service } = caller
  const kinds = findCallerGroup(caller).services[service]?.kinds ?? {}
  const kind = kinds[hint.kind]
  if (kind === undefined) {
    throw new RequestError('not-run', 'UnknownKind', { kind: hint.kind, service, known: Object.keys(kinds) })
  }
  return kind
}

/**
 * Builds what every request to a home carries.
 *
 * @param caller - the connection
 * @param kind - the declared kind, which sets the deadline
 * @returns group, service and deadline
 */
export function buildRequestBase (
  { groupName, service }: Pick<Caller, 'groupName' | 'service'>, kind: Kind | undefined
): RequestBase {
  return { group: groupName, service, deadlineMs: kind?.deadlineMs ?? DEFAULT_DEADLINE_MS }
}

/**
 * Makes a group the connection's database.
 *
 * @param caller - the connection
 * @param database - name of the group
 * @throws RequestError `UnsupportedStatement` while a transaction is open; `UnknownGroup` when the group does not exist
 * or does not have the caller's service
 */
export function selectCallerDatabase (caller: Caller, database: string): void {
  if (caller.transactions.open) {
    throw new RequestError('not-run', 'UnsupportedStatement', { reason: 'a transaction is open' })
  }
  const group = caller.findGroup(database)
  if (group?.services[caller.service] === undefined) {
    throw new RequestError('not-run', 'UnknownGroup', { group: database })
  }
  caller.groupName = database
}
