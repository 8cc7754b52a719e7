/** Brings a shared connection to the state that a session needs. */
import { RequestError } from '../../core/errors/index.ts'
import type { PreparedShape, UpstreamCommand } from '../ports/index.ts'
import type { ConnectionLease } from './types.ts'

/** Cost of values that must go, against one for each value to set: everything is dropped and set anew. */
const RESET_COST = 10
/** Statements that stay prepared on a connection; the oldest goes first. */
const PREPARED_KEPT = 100

/**
 * Says how much must change on a connection.
 *
 * @param present - values that are set on it
 * @param wanted - values that a session has
 * @returns 0 when it fits; the larger, the more must change
 */
export function mismatchOf (present: ReadonlyMap<string, string>, wanted: ReadonlyMap<string, string>): number {
  let mismatch = [...present.keys()].some((name) => !wanted.has(name)) ? RESET_COST : 0
  for (const [name, value] of wanted) {
    mismatch += present.get(name) === value ? 0 : 1
  }
  return mismatch
}

/**
 * Sets the values of a session on a connection, and drops those of others.
 *
 * @param lease - the connection
 * @param wanted - values of the session
 * @throws RequestError with verdict `not-run`; the connection must be discarded
 */
export async function applySessionValues (lease: ConnectionLease, wanted: ReadonlyMap<string, string>): Promise<void> {
  if ([...lease.values.keys()].some((name) => !wanted.has(name))) {
    await runOwn(lease, { type: 'reset' })
    lease.values.clear()
    lease.prepared.clear()
  }
  for (const [name, value] of wanted) {
    if (lease.values.get(name) !== value) {
      await runOwn(lease, { type: 'set', name, value })
      lease.values.set(name, value)
    }
  }
}

/**
 * Makes sure that a statement is prepared on a connection. Names are given by the connection, one for each shape, so
 * that the names of different callers cannot clash.
 *
 * @param lease - the connection
 * @param prepared - access and shape
 * @returns its name there
 * @throws RequestError with verdict `not-run`; the connection must be discarded
 */
export async function ensurePrepared (lease: ConnectionLease, prepared: PreparedShape): Promise<string> {
  const key = `${prepared.access} ${prepared.shape}`
  const existing = lease.prepared.get(key)
  if (existing !== undefined) {
    lease.prepared.delete(key)
    lease.prepared.set(key, existing)
    return existing
  }
  const [oldest] = lease.prepared
  if (lease.prepared.size >= PREPARED_KEPT && oldest !== undefined) {
    lease.prepared.delete(oldest[0])
    await runOwn(lease, { type: 'deallocate', name: oldest[1] })
  }
  const name = freeName(lease)
  await runOwn(lease, { type: 'prepare', name, prepared })
  lease.prepared.set(key, name)
  return name
}

function freeName (lease: ConnectionLease): string {
  const taken = new Set(lease.prepared.values())
  let number = lease.prepared.size + 1
  while (taken.has(`w${number}`)) {
    number++
  }
  return `w${number}`
}

async function runOwn (lease: ConnectionLease, command: UpstreamCommand): Promise<void> {
  const { failure } = await lease.connection.run(command)
  if (failure !== undefined) {
    const reason = `${command.type} failed: ${failure.kind}`
    throw new RequestError('not-run', 'ConnectionLost', { upstream: 'unknown', reason })
  }
}
