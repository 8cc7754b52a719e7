import { deepEqual, equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ErrorName, Verdict } from '../../../src/core/errors/index.ts'
import type { FailureKind, TransactionState } from '../../../src/entry/ports/index.ts'
import {
  decideBegin, decideRead, decideWrite, mayRepeatStep, retryLabel, retryReason, type ReadAttempt, type RetryCause
} from '../../../src/entry/requests/retry-rules.ts'

const GIVE_UP = { action: 'give-up' }

function failure (kind: FailureKind): RetryCause {
  return { type: 'failure', kind }
}

function error (entry: ErrorName, verdict: Verdict): RetryCause {
  return { type: 'error', error: { entry, verdict }, reason: `${entry} happened` }
}

/** A first attempt of a read that any replica may serve, with a budget that counts what is taken from it. */
function firstRead (changes: Partial<ReadAttempt> = {}, balance = 1) {
  const spent = { retries: 0 }
  const attempt: ReadAttempt = {
    attempts: 1,
    primaryOnly: false,
    deadlinePassed: false,
    spendBudget: () => {
      spent.retries++
      return spent.retries <= balance
    },
    ...changes
  }
  return { attempt, spent }
}

describe('what is repeated of a read', () => {
  it('goes elsewhere after a failure that another upstream may not have', () => {
    for (const kind of ['lagging', 'misrouted', 'read-only'] as const) {
      const { attempt, spent } = firstRead()
      deepEqual(decideRead(failure(kind), attempt), {
        action: 'repeat', elsewhere: true, mayHaveRun: false, pauseMs: 0
      }, kind)
      equal(spent.retries, 0, kind)
    }
  })

  it('pauses when the upstream is busy, and when only the primary may serve it', () => {
    deepEqual(decideRead(failure('busy'), firstRead().attempt), {
      action: 'repeat', elsewhere: true, mayHaveRun: false, pauseMs: 25
    })
    deepEqual(decideRead(failure('lagging'), firstRead({ primaryOnly: true }).attempt), {
      action: 'repeat', elsewhere: true, mayHaveRun: false, pauseMs: 25
    })
  })

  it('stays at the upstream when a prepared statement is unknown there', () => {
    deepEqual(decideRead(failure('unknown-statement'), firstRead().attempt), {
      action: 'repeat', elsewhere: false, mayHaveRun: false, pauseMs: 0
    })
  })

  it('takes from the budget when it has run', () => {
    for (const kind of ['failed', 'timeout'] as const) {
      const { attempt, spent } = firstRead()
      deepEqual(decideRead(failure(kind), attempt), { action: 'repeat', elsewhere: true, mayHaveRun: true, pauseMs: 0 })
      equal(spent.retries, 1)
      deepEqual(decideRead(failure(kind), firstRead({}, 0).attempt), GIVE_UP)
    }
  })

  it('answers with failures that no other upstream helps against', () => {
    for (const kind of ['aborted', 'in-doubt', 'too-large', 'malformed', 'unknown-database'] as const) {
      deepEqual(decideRead(failure(kind), firstRead().attempt), GIVE_UP, kind)
    }
  })

  it('is attempted six times at most, and takes nothing from the budget after that', () => {
    for (const cause of [failure('busy'), failure('failed'), error('ConnectionLost', 'may-have-run')]) {
      equal(decideRead(cause, firstRead({ attempts: 5 }).attempt).action, 'repeat')
      const { attempt, spent } = firstRead({ attempts: 6 })
      deepEqual(decideRead(cause, attempt), GIVE_UP)
      equal(spent.retries, 0)
    }
  })

  it('is repeated freely after an error when it was not run, else from the budget', () => {
    const free = firstRead({}, 0)
    deepEqual(decideRead(error('ConnectionLost', 'not-run'), free.attempt), {
      action: 'repeat', elsewhere: true, mayHaveRun: false, pauseMs: 0
    })
    equal(free.spent.retries, 0)
    deepEqual(decideRead(error('ConnectionLost', 'may-have-run'), firstRead().attempt), {
      action: 'repeat', elsewhere: true, mayHaveRun: true, pauseMs: 0
    })
    deepEqual(decideRead(error('ConnectionLost', 'may-have-run'), firstRead({}, 0).attempt), GIVE_UP)
  })

  it('leaves the upstream eligible when only its home was lost', () => {
    deepEqual(decideRead(error('PeerUnavailable', 'not-run'), firstRead().attempt), {
      action: 'repeat', elsewhere: false, mayHaveRun: false, pauseMs: 0
    })
  })

  it('ends with an error after the deadline, and takes nothing from the budget', () => {
    const { attempt, spent } = firstRead({ deadlinePassed: true })
    deepEqual(decideRead(error('ConnectionLost', 'may-have-run'), attempt), GIVE_UP)
    equal(spent.retries, 0)
  })
})

describe('what is repeated of a write', () => {
  const AGAIN = { action: 'repeat', elsewhere: false, mayHaveRun: false, pauseMs: 25 }

  it('is sent again after failures that say it was not run, while there is time for two pauses', () => {
    for (const kind of ['busy', 'read-only', 'unknown-statement', 'misrouted'] as const) {
      deepEqual(decideWrite(failure(kind), 1, 50), AGAIN, kind)
      deepEqual(decideWrite(failure(kind), 1, 49), GIVE_UP, kind)
      deepEqual(decideWrite(failure(kind), 60, 50), AGAIN, kind)
    }
  })

  it('is never sent again when it may have run', () => {
    for (const kind of ['failed', 'timeout', 'in-doubt', 'aborted'] as const) {
      deepEqual(decideWrite(failure(kind), 1, 1000), GIVE_UP, kind)
    }
    for (const entry of ['PeerUnavailable', 'ConnectionLost', 'DeadlineExceeded'] as const) {
      deepEqual(decideWrite(error(entry, 'may-have-run'), 1, 1000), GIVE_UP, entry)
    }
  })

  it('takes another way to the primary after an error that says it was not run, six times at most', () => {
    for (const entry of ['PeerUnavailable', 'NoUpstream', 'ConnectionLost'] as const) {
      deepEqual(decideWrite(error(entry, 'not-run'), 5, 1000), AGAIN, entry)
      deepEqual(decideWrite(error(entry, 'not-run'), 6, 1000), GIVE_UP, entry)
      deepEqual(decideWrite(error(entry, 'not-run'), 1, 49), GIVE_UP, entry)
    }
    deepEqual(decideWrite(error('Overloaded', 'not-run'), 1, 1000), GIVE_UP)
  })
})

describe('what is repeated of the beginning of a transaction', () => {
  const first = { attempts: 1, deadlinePassed: false, throughHome: false }
  const ELSEWHERE = { action: 'repeat', elsewhere: true, mayHaveRun: false, pauseMs: 25 }

  it('goes elsewhere whatever became of it, six times at most', () => {
    for (const cause of [failure('lagging'), failure('failed'), error('ConnectionLost', 'may-have-run')]) {
      deepEqual(decideBegin(cause, { ...first, attempts: 5 }), ELSEWHERE)
      deepEqual(decideBegin(cause, { ...first, attempts: 6 }), GIVE_UP)
    }
  })

  it('leaves the upstream eligible when only its home was lost', () => {
    deepEqual(decideBegin(error('PeerUnavailable', 'not-run'), { ...first, throughHome: true }), {
      ...ELSEWHERE, elsewhere: false
    })
  })

  it('ends where there is too much work, or no way of its own to the primary', () => {
    deepEqual(decideBegin(error('Overloaded', 'not-run'), first), GIVE_UP)
    deepEqual(decideBegin(error('Overloaded', 'not-run'), { ...first, throughHome: true }), GIVE_UP)
    deepEqual(decideBegin(error('NoUpstream', 'not-run'), first), GIVE_UP)
    deepEqual(decideBegin(error('NoUpstream', 'not-run'), { ...first, throughHome: true }), ELSEWHERE)
  })

  it('ends with an error after the deadline', () => {
    deepEqual(decideBegin(error('ConnectionLost', 'not-run'), { ...first, deadlinePassed: true }), GIVE_UP)
  })
})

describe('what is repeated of a statement inside a transaction', () => {
  const answer = (kind: FailureKind, state: TransactionState) => ({ failure: { kind, message: '' }, state })

  it('is one that was not run and left the transaction open, four times at most', () => {
    equal(mayRepeatStep(answer('busy', 'open'), 3, false), true)
    equal(mayRepeatStep(answer('busy', 'open'), 4, false), false)
    equal(mayRepeatStep(answer('busy', 'open'), 1, true), false)
    equal(mayRepeatStep(answer('busy', 'failed'), 1, false), false)
    equal(mayRepeatStep(answer('failed', 'open'), 1, false), false)
    equal(mayRepeatStep({ state: 'open' }, 1, false), false)
  })
})

describe('how a retry is reported', () => {
  it('names the kind of a failure, and any error as one of the connection', () => {
    equal(retryLabel(failure('lagging')), 'lagging')
    equal(retryReason(failure('lagging')), 'lagging')
    equal(retryLabel(error('PeerUnavailable', 'not-run')), 'connection')
    equal(retryReason(error('PeerUnavailable', 'not-run')), 'PeerUnavailable happened')
  })
})
