/**
 * Requests a table of the store from the hosts that follow it. Hosts that failed recently are tried last. The first
 * response of a sufficient version is accepted, and the search ends after {@link MAXIMUM_TIMEOUTS} timeouts, or when a
 * host tells that the changes are too large for the links between hosts.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { TableConfirmation } from './followed-table.ts'
import { createRecentFailures } from './recent-failures.ts'
import type { KnownHost } from './snapshot.ts'
import { RESPONSE_TIMEOUT_MS, TABLE_LONG_POLL_MS } from './table-answers.ts'
import type { TableChanges } from './table-copy.ts'
import { tableResponseSchema, type TableResponse, type TableRequest } from './table-messages.ts'

/**
 * Time that a host waits after its start for all rows before it reads the store, in milliseconds. Kept short, because
 * the followers have nothing to return if all hosts start at once.
 */
const FIRST_RESPONSE_MS = 40
/** Number of timeouts permitted in one turn. */
const MAXIMUM_TIMEOUTS = 2

interface TableClientOptions {
  peers: Pick<Peers, 'request' | 'requestOrDisconnect'>
  logger: Logger
  /** The other hosts that follow the tables, ordered by preference. */
  followers: () => KnownHost[]
  /** Returns a host by name. */
  hostOf: (name: string) => KnownHost | undefined
}

/** Changes from another host, with the confirmation of that host's copy. */
interface ConfirmedChanges {
  changes: TableChanges
  confirmation: TableConfirmation
}

/** Requests tables from other hosts. */
export interface TableClient {
  /**
   * Requests the changes of a table.
   *
   * @param table - the table
   * @param after - version that this host has; undefined to request all rows
   * @param atLeast - minimum version of the response
   * @param acceptsLarge - whether to request large changes as well
   * @returns the changes; `large` if they should be read from the store; undefined if no host could answer
   */
  requestChanges: (
    table: string, after: number | undefined, atLeast: number, acceptsLarge: boolean
  ) => Promise<ConfirmedChanges | 'large' | undefined>
  /**
   * Requests all rows of a table, read from the store on behalf of this request.
   *
   * @param table - the table
   * @param atLeast - minimum version of the response
   * @param acceptsLarge - whether to request a large table as well
   * @returns all rows; `large` if they should be read from the store; undefined if no host could answer
   */
  requestFreshRows: (
    table: string, atLeast: number, acceptsLarge: boolean
  ) => Promise<ConfirmedChanges | 'large' | undefined>
  /**
   * Requests the changes that a host is known to have.
   *
   * @param name - name of the host
   * @param table - the table
   * @param after - version that this host has; undefined to request all rows
   * @returns the changes; `large` if they should be read from the store; undefined if the host did not answer in time
   */
  requestFromHost: (
    name: string, table: string, after: number | undefined
  ) => Promise<ConfirmedChanges | 'large' | undefined>
}

/**
 * Creates the client.
 *
 * @param options - the links and the followers
 * @returns the client
 */
export function createTableClient ({ peers, logger, followers, hostOf }: TableClientOptions): TableClient {
  const recentFailures = createRecentFailures()

  /** Requests all rows by `peers.request`, because its short timeout must not break the shared link. */
  const send = async (host: KnownHost, tableRequest: TableRequest, timeoutMs: number): Promise<unknown> =>
    tableRequest.after === undefined
      ? await peers.request(host, 'table-changes', tableRequest, timeoutMs)
      : await peers.requestOrDisconnect(host, 'table-changes', tableRequest, timeoutMs)
  const ask = async (
    host: KnownHost, tableRequest: TableRequest, timeoutMs: number
  ): Promise<ConfirmedChanges | 'no-changes' | 'large' | undefined> => {
    const askedAt = performance.now()
    try {
      const { changes, ageMs = Infinity, isLarge = false }: TableResponse =
        tableResponseSchema.parse(await send(host, tableRequest, timeoutMs))
      return changes === undefined
        ? isLarge ? 'large' : 'no-changes'
        : { changes, confirmation: { confirmedAt: askedAt - ageMs, source: host.name } }
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: host.name, reason: describeThrown(thrown) })
      return undefined
    }
  }
  const isRecentEnough = (peer: string, table: string, { version }: TableChanges, atLeast: number): boolean => {
    if (version >= atLeast) {
      return true
    }
    logger.log('info', 'feed.peer-behind', { table, peer, version, told: atLeast })
    return false
  }
  const requestInTurn = async (
    tableRequest: TableRequest, timeoutMs: number, atLeast: number
  ): Promise<ConfirmedChanges | 'large' | undefined> => {
    const isFirst = tableRequest.after === undefined && tableRequest.anew !== true
    let timeoutsLeft = isFirst ? 1 : MAXIMUM_TIMEOUTS
    for (const host of recentFailures.sortFailedLast(followers())) {
      const response = await ask(host, tableRequest, timeoutMs)
      if (typeof response === 'object' && isRecentEnough(host.name, tableRequest.table, response.changes, atLeast)) {
        return response
      }
      if (response === 'large') {
        return response
      }
      recentFailures.record(host)
      timeoutsLeft -= response === undefined ? 1 : 0
      if (timeoutsLeft === 0) {
        return undefined
      }
    }
    return undefined
  }
  return {
    requestChanges: async (table, after, atLeast, acceptsLarge) => {
      const timeoutMs = after === undefined && !acceptsLarge
        ? FIRST_RESPONSE_MS
        : TABLE_LONG_POLL_MS + RESPONSE_TIMEOUT_MS
      return await requestInTurn({ table, after, ...acceptsLarge && { acceptsLarge } }, timeoutMs, atLeast)
    },
    requestFreshRows: async (table, atLeast, acceptsLarge) =>
      await requestInTurn({ table, anew: true, ...acceptsLarge && { acceptsLarge } }, RESPONSE_TIMEOUT_MS, atLeast),
    requestFromHost: async (name, table, after) => {
      const host = hostOf(name)
      const response = host === undefined ? undefined : await ask(host, { table, after }, RESPONSE_TIMEOUT_MS)
      return response === 'no-changes' ? undefined : response
    }
  }
}
