/**
 * Autocommit mode of connections. With autocommit off, a statement implicitly begins a transaction, and one procedure
 * call commits it, records its request key and returns the end of the log: two round trips without a BEGIN.
 */
import type { Client } from '../../mysql/client.ts'

/** Connections with autocommit off. */
const manualCommitClients = new WeakSet<Client>()

/**
 * Turns autocommit of a connection off or on. Sends nothing when the connection is already in that mode.
 *
 * @param client - the connection
 * @param enabled - true when the caller commits explicitly (autocommit off)
 * @param timeoutMs - timeout of the statement, in milliseconds
 */
export async function useManualCommit (client: Client, enabled: boolean, timeoutMs: number): Promise<void> {
  if (manualCommitClients.has(client) === enabled) {
    return
  }
  await client.run({ sql: `SET autocommit = ${enabled ? 0 : 1}` }, timeoutMs, 'not-run')
  enabled ? manualCommitClients.add(client) : manualCommitClients.delete(client)
}
