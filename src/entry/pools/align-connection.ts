/**
 * Prepares a shared connection for a session: sets its session values and prepares its statements. A connection keeps
 * only fingerprints of them, since it outlives the sessions and their texts may be long.
 */
import { RequestError } from '../../core/errors/index.ts'
import { detachText } from '../../core/memory/detach-text.ts'
import type { PreparedShape, UpstreamCommand } from '../ports/index.ts'
import type { ConnectionLease, PooledConnection, SessionValues } from './types.ts'

/** Cost of resetting a connection, in numbers of values to set. A reset clears all values and prepared statements. */
const RESET_COST = 10
/** Maximum number of prepared statements per connection; the least recently used one is deallocated first. */
const MAXIMUM_PREPARED = 100

/**
 * Estimates the cost of changing a connection's session values to those of a session.
 *
 * @param present - values that are set on the connection
 * @param wanted - values of the session
 * @returns the number of values to set, plus {@link RESET_COST} if the connection must be reset; 0 if nothing changes
 */
export function mismatchCost (present: PooledConnection['values'], wanted: SessionValues): number {
  let mismatch = [...present.keys()].some((key) => !wanted.has(key)) ? RESET_COST : 0
  for (const [key, { fingerprint }] of wanted) {
    mismatch += present.get(key) === fingerprint ? 0 : 1
  }
  return mismatch
}

/**
 * Sets the values of a session on a connection. Resets the connection first if it has values that the session lacks.
 *
 * @param lease - the connection
 * @param wanted - values of the session
 * @throws RequestError with verdict `not-run`; the caller must discard the connection
 */
export async function applySessionValues (lease: ConnectionLease, wanted: SessionValues): Promise<void> {
  if ([...lease.values.keys()].some((key) => !wanted.has(key))) {
    await runSetupCommand(lease, { type: 'reset' })
    lease.values.clear()
    lease.prepared.clear()
  }
  for (const [key, { name, text, fingerprint }] of wanted) {
    if (lease.values.get(key) !== fingerprint) {
      await runSetupCommand(lease, { type: 'set', name, value: text })
      lease.values.set(detachText(key), detachText(fingerprint))
    }
  }
}

/**
 * Prepares a statement on a connection unless it is prepared already. Names are generated per connection, so those of
 * different callers cannot conflict.
 *
 * @param lease - the connection
 * @param prepared - access, shape and fingerprint of the statement
 * @returns the name of the prepared statement on this connection
 * @throws RequestError with verdict `not-run`; the caller must discard the connection
 */
export async function ensurePrepared (
  lease: ConnectionLease, { access, shape, fingerprint }: PreparedShape & { fingerprint: string }
): Promise<string> {
  const key = `${access} ${fingerprint}`
  const existing = lease.prepared.get(key)
  if (existing !== undefined) {
    lease.prepared.delete(key)
    lease.prepared.set(key, existing)
    return existing
  }
  const [oldest] = lease.prepared
  if (lease.prepared.size >= MAXIMUM_PREPARED && oldest !== undefined) {
    lease.prepared.delete(oldest[0])
    await runSetupCommand(lease, { type: 'deallocate', name: oldest[1] })
  }
  const name = unusedName(lease)
  await runSetupCommand(lease, { type: 'prepare', name, prepared: { access, shape } })
  lease.prepared.set(detachText(key), name)
  return name
}

function unusedName (lease: ConnectionLease): string {
  const taken = new Set(lease.prepared.values())
  let number = lease.prepared.size + 1
  while (taken.has(`w${number}`)) {
    number++
  }
  return `w${number}`
}

async function runSetupCommand (lease: ConnectionLease, command: UpstreamCommand): Promise<void> {
  const { failure } = await lease.connection.run(command)
  if (failure !== undefined) {
    const reason = `${command.type} failed: ${failure.kind}`
    throw new RequestError('not-run', 'ConnectionLost', { upstream: 'unknown', reason })
  }
}
