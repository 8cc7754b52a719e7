/**
 * How statements run on a primary: with autocommit off, so that the statement opens its transaction and one call
 * commits it, enters its key and returns where the log then ends. It is two round trips for any statement, and no
 * BEGIN.
 */
import type { Client } from '../../mysql/client.ts'

/** Connections whose autocommit has been switched off. */
const manual = new WeakSet<Client>()

/**
 * Brings a connection into the wanted mode; nothing is sent when it is in it already.
 *
 * @param client - the connection
 * @param wanted - whether the caller will commit itself
 * @param timeoutMs - time for the change, in milliseconds
 */
export async function useManualCommit (client: Client, wanted: boolean, timeoutMs: number): Promise<void> {
  if (manual.has(client) === wanted) {
    return
  }
  await client.run({ sql: `SET autocommit = ${wanted ? 0 : 1}` }, timeoutMs, 'not-run')
  wanted ? manual.add(client) : manual.delete(client)
}
