/**
 * Settles a write or commit whose answer was lost: inserts a tombstone under its request key on the current primary,
 * unless the key already has a record, and waits for replication. A `done` record means that the attempt ran. A
 * tombstone means that it didn't and can't run any more, because its commit would conflict with the tombstone.
 */
import { RequestError } from '../../core/errors/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { parseLedgerRecord, type KeyedAttempt, type LedgerRecord } from '../ledger/request-key.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import { callProcedure } from '../upstreams/procedures.ts'
import type { LogPosition } from '../../positions/position.ts'
import { logEnd } from '../upstreams/status.ts'
import { waitForAcknowledgement } from './acknowledgement.ts'
import { toWriteReply, ledgerArguments, answerFromRecord } from './commit.ts'
import { runOnPrimary, type PrimaryWorkOptions, type WriteTarget } from './primary-work.ts'
import type { HomeReply } from './types.ts'
import { isReadOnlyRefusal } from './what-is-repeated.ts'

/** Delay before a retry, in milliseconds. */
const RETRY_DELAY_MS = 10

/**
 * Determines whether an attempt ran, after its answer was lost. Retries until the deadline.
 *
 * @param options - the group, its connection pools, and kind and deadline of the request
 * @param attempt - the attempt
 * @returns the recorded answer when the attempt ran
 * @throws RequestError `TransactionLost` or `KeyReused` with verdict `not-run` when the attempt did not run,
 * `NotAcknowledged` with verdict `may-have-run` when its outcome can't be determined
 */
export async function settleOutcome (
  options: PrimaryWorkOptions, attempt: KeyedAttempt
): Promise<HomeReply> {
  const { view, deadline } = options
  while (!deadline.passed) {
    try {
      const target = await view.waitForPrimary(deadline)
      const record = await contestKey(options, target, attempt)
      const { status } = await target.view.channel.fetchStatus()
      await waitForAcknowledgement(options, target, logEnd(status))
      return replyFromRecord(record, attempt, target, logEnd(status), view.name)
    } catch (thrown) {
      throwIfFinal(thrown, view.name)
      await pause(RETRY_DELAY_MS)
    }
  }
  throw new RequestError('may-have-run', 'NotAcknowledged', {
    group: view.name, reason: 'its outcome could not be settled in time'
  })
}

/** Rethrows a failure that a retry can't change. */
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

/** Inserts a tombstone for an attempt unless its key has a record, and returns the resulting record. */
async function contestKey (
  options: PrimaryWorkOptions, target: WriteTarget, attempt: KeyedAttempt
): Promise<LedgerRecord> {
  const { deadline } = options
  return await runOnPrimary(options, target, async (client) => {
    const call = callProcedure('contest', ledgerArguments(attempt))
    return parseLedgerRecord(await client.run(call, deadline.leftMs, 'not-run') as RowsAnswer)
  })
}

function replyFromRecord (
  record: LedgerRecord, attempt: KeyedAttempt, target: WriteTarget, position: LogPosition, group: string
): HomeReply {
  if (record.state === 'done') {
    return toWriteReply({ answer: answerFromRecord(record, attempt), position, replayed: true }, target)
  }
  throw new RequestError('not-run', 'TransactionLost', {
    reason: `group ${group} lost the attempt before it committed, and it can no longer commit`
  })
}
