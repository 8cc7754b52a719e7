/** Handles the connection of one caller: classifies each statement and passes it to the handler of its class. */
import type { Group } from '../../core/config/index.ts'
import type { ClientHandler, AuthenticatedClient } from '../../mysql/client-handler.ts'
import type { HomeRequests } from '../routing/home-requests.ts'
import type { SessionTokens } from '../sessions/session-token.ts'
import { buildRequestBase, selectCallerDatabase, type Caller } from './caller.ts'
import { createCallerTransactions } from './caller-transaction.ts'
import { readHint, readHintValues } from './hint.ts'
import { createSessionFloors } from './session-floors.ts'
import { classifyStatement } from './statement-class.ts'
import { STATEMENT_HANDLERS } from './statement-handlers.ts'

/** Options of {@link createCallerSession}. */
interface CallerSessionOptions {
  host: string
  client: AuthenticatedClient
  tokens: SessionTokens
  requests: HomeRequests
  /** Returns the current declarations of a group. */
  findGroup: (name: string) => Group | undefined
}

/** State of a caller's connection, as shown to operators. */
export interface CallerState {
  connection: number
  service: string
  group: string
  session: string
  inTransaction: boolean
  /** Whether a statement is being executed. */
  busy: boolean
  /** Number of statements received. */
  statements: number
}

/** Handler of a caller's connection. */
export interface CallerSession extends ClientHandler {
  state: () => CallerState
}

/**
 * Creates the handler of a caller's connection.
 *
 * @param options - the caller, its group and the sender of requests to homes
 * @returns the handler
 */
export function createCallerSession (options: CallerSessionOptions): CallerSession {
  const { client, tokens } = options
  const caller = createCaller(options)
  let statements = 0
  let busy = false

  return {
    execute: async (statement) => {
      statements++
      busy = true
      try {
        const hint = { ...caller.defaults, ...readHint(statement.sql) }
        if (hint.session !== undefined) {
          caller.session.resume(hint.session)
        }
        return await STATEMENT_HANDLERS[classifyStatement(statement.sql)](caller, statement, hint)
      } finally {
        busy = false
      }
    },
    selectDatabase: async (database) => selectCallerDatabase(caller, database),
    reset: async () => {
      await caller.transactions.rollBack()
      caller.defaults = readHintValues(client.attributes)
      caller.session = createSessionFloors(tokens, caller.service)
    },
    close: () => { void caller.transactions.rollBack() },
    state: () => ({
      connection: client.connectionId,
      service: caller.service,
      group: caller.groupName,
      session: caller.session.id,
      inTransaction: caller.transactions.open,
      busy,
      statements
    })
  }
}

function createCaller ({ client, tokens, requests, host, findGroup }: CallerSessionOptions): Caller {
  const caller: Caller = {
    service: client.user,
    groupName: client.database,
    defaults: readHintValues(client.attributes),
    session: createSessionFloors(tokens, client.user),
    transactions: createCallerTransactions({
      host,
      connectionId: client.connectionId,
      requests,
      base: () => buildRequestBase(caller, undefined),
      onCommitted: (floor) => caller.session.join(caller.groupName, floor)
    }),
    requests,
    findGroup
  }
  return caller
}
