/**
 * Rule: what becomes of a write or a commit whose answer was lost?
 *
 * Inputs: the attempt (scope, key, fingerprint, number), the current primary, the record of the key in its ledger, and
 * the time left (ms).
 *
 * The key is contested on the current primary: a tombstone is entered unless a record is there. What then stands counts
 * once a majority has it.
 * - A record `done`: the attempt ran; its recorded answer is returned.
 * - A tombstone: it did not run and never will (`not-run`), since its commit would meet the tombstone.
 * - A record of another request: the key was reused (`not-run`).
 * - Any other failure is tried again until the deadline; then the outcome stays open (`may-have-run`).
 */
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { parseLedgerRecord, type KeyedAttempt, type LedgerRecord } from '../ledger/request-key.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import { callProcedure } from '../upstreams/procedures.ts'
import type { LogPosition } from '../../positions/position.ts'
import { logEnd } from '../upstreams/status.ts'
import { acknowledge } from './acknowledgement.ts'
import { describeWrite, ledgerArguments, replayRecord } from './commit.ts'
import { onPrimary, type PrimaryWork, type WriteTarget } from './primary-work.ts'
import type { HomeReply } from './types.ts'
import { isReadOnlyRefusal } from './what-is-repeated.ts'

/** Pause before another try, in milliseconds. */
const RETRY_PAUSE_MS = 10

/**
 * Finds out whether an attempt ran, after its answer was lost.
 *
 * @param options - the request
 * @param attempt - its attempt
 * @returns the recorded answer when it ran
 * @throws RequestError with verdict `not-run` when it did not and never will, `may-have-run` when time ran out
 */
export async function settle (
  options: PrimaryWork, attempt: KeyedAttempt
): Promise<HomeReply> {
  const { view, deadline } = options
  while (!deadline.passed) {
    try {
      const target = await view.waitForPrimary(deadline)
      const record = await contest(options, target, attempt)
      const { status } = await target.view.channel.fetchStatus()
      await acknowledge(options, target, logEnd(status))
      return settleByRecord(record, attempt, target, logEnd(status), view.name)
    } catch (thrown) {
      throwIfFinal(thrown, view.name)
      await pause(RETRY_PAUSE_MS)
    }
  }
  throw new RequestError('may-have-run', 'NotAcknowledged', {
    group: view.name, reason: 'its outcome could not be settled in time'
  })
}

/** Throws what no further try at settling can change. */
function throwIfFinal (thrown: unknown, group: string): void {
  if (!(thrown instanceof RequestError)) {
    throw thrown
  }
  if (thrown.entry === 'TransactionLost' || thrown.entry === 'KeyReused') {
    throw thrown
  }
  if (thrown.entry === 'StatementFailed' && !isReadOnlyRefusal(thrown)) {
    throw new RequestError('may-have-run', 'NotAcknowledged', { group, reason: thrown.message })
  }
}

/** Tries to enter a tombstone for an attempt, and returns the record that then stands. */
async function contest (
  options: PrimaryWork, target: WriteTarget, attempt: KeyedAttempt
): Promise<LedgerRecord> {
  const { deadline } = options
  return await onPrimary(options, target, async (client) => {
    const call = callProcedure('contest', ledgerArguments(attempt))
    return parseLedgerRecord(await client.run(call, deadline.leftMs, 'not-run') as RowsAnswer)
  })
}

function settleByRecord (
  record: LedgerRecord, attempt: KeyedAttempt, target: WriteTarget, floor: LogPosition, group: string
): HomeReply {
  if (record.state === 'done') {
    return describeWrite({ answer: replayRecord(record, attempt), place: floor, replayed: true }, target)
  }
  throw new RequestError('not-run', 'TransactionLost', {
    reason: `group ${group} lost the attempt before it committed, and it can no longer commit`
  })
}
