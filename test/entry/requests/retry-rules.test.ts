import { deepEqual, equal } from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ErrorName, Verdict } from '../../../src/core/errors/index.ts'
import type { FailureKind, TransactionState } from '../../../src/entry/ports/index.ts'
import {
  decideBeginRetry, decideReadRetry, decideWriteRetry, mayRetryStep, retryLabel, retryReason, type ReadAttempt,
  type RetryCause
} from '../../../src/entry/requests/retry-rules.ts'

const GIVE_UP = { action: 'give-up' }

function failure (kind: FailureKind): RetryCause {
  return { type: 'failure', kind }
}

function error (entry: ErrorName, verdict: Verdict): RetryCause {
  return { type: 'error', error: { entry, verdict }, reason: `${entry} happened` }
}

/** Creates the first attempt of a read that any replica may serve, with a budget of `balance` retries. */
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

describe('retrying a read', () => {
  it('excludes the upstream after a failure that another upstream may not have', () => {
    for (const kind of ['lagging', 'misrouted', 'read-only'] as const) {
      const { attempt, spent } = firstRead()
      deepEqual(decideReadRetry(failure(kind), attempt), {
        action: 'repeat', excludeUpstream: true, mayHaveRun: false, pauseMs: 0
      }, kind)
      equal(spent.retries, 0, kind)
    }
  })

  it('pauses if the upstream is busy or only the primary may serve the read', () => {
    deepEqual(decideReadRetry(failure('busy'), firstRead().attempt), {
      action: 'repeat', excludeUpstream: true, mayHaveRun: false, pauseMs: 25
    })
    deepEqual(decideReadRetry(failure('lagging'), firstRead({ primaryOnly: true }).attempt), {
      action: 'repeat', excludeUpstream: true, mayHaveRun: false, pauseMs: 25
    })
  })

  it('does not exclude the upstream if a prepared statement is unknown there', () => {
    deepEqual(decideReadRetry(failure('unknown-statement'), firstRead().attempt), {
      action: 'repeat', excludeUpstream: false, mayHaveRun: false, pauseMs: 0
    })
  })

  it('takes from the budget if the read has run', () => {
    for (const kind of ['failed', 'timeout'] as const) {
      const { attempt, spent } = firstRead()
      deepEqual(decideReadRetry(failure(kind), attempt), {
        action: 'repeat', excludeUpstream: true, mayHaveRun: true, pauseMs: 0
      })
      equal(spent.retries, 1)
      deepEqual(decideReadRetry(failure(kind), firstRead({}, 0).attempt), GIVE_UP)
    }
  })

  it('gives up after failures that any upstream would report', () => {
    for (const kind of ['aborted', 'in-doubt', 'too-large', 'malformed', 'unknown-database'] as const) {
      deepEqual(decideReadRetry(failure(kind), firstRead().attempt), GIVE_UP, kind)
    }
  })

  it('gives up after six attempts without taking from the budget', () => {
    for (const cause of [failure('busy'), failure('failed'), error('ConnectionLost', 'may-have-run')]) {
      equal(decideReadRetry(cause, firstRead({ attempts: 5 }).attempt).action, 'repeat')
      const { attempt, spent } = firstRead({ attempts: 6 })
      deepEqual(decideReadRetry(cause, attempt), GIVE_UP)
      equal(spent.retries, 0)
    }
  })

  it('takes from the budget after an error only if the read may have run', () => {
    const free = firstRead({}, 0)
    deepEqual(decideReadRetry(error('ConnectionLost', 'not-run'), free.attempt), {
      action: 'repeat', excludeUpstream: true, mayHaveRun: false, pauseMs: 0
    })
    equal(free.spent.retries, 0)
    deepEqual(decideReadRetry(error('ConnectionLost', 'may-have-run'), firstRead().attempt), {
      action: 'repeat', excludeUpstream: true, mayHaveRun: true, pauseMs: 0
    })
    deepEqual(decideReadRetry(error('ConnectionLost', 'may-have-run'), firstRead({}, 0).attempt), GIVE_UP)
  })

  it('leaves the upstream eligible when only its home was lost', () => {
    deepEqual(decideReadRetry(error('PeerUnavailable', 'not-run'), firstRead().attempt), {
      action: 'repeat', excludeUpstream: false, mayHaveRun: false, pauseMs: 0
    })
  })

  it('gives up after an error past the deadline without taking from the budget', () => {
    const { attempt, spent } = firstRead({ deadlinePassed: true })
    deepEqual(decideReadRetry(error('ConnectionLost', 'may-have-run'), attempt), GIVE_UP)
    equal(spent.retries, 0)
  })
})

describe('retrying a write', () => {
  const AGAIN = { action: 'repeat', excludeUpstream: false, mayHaveRun: false, pauseMs: 25 }

  it('retries after failures of writes that have not run, while there is time for two pauses', () => {
    for (const kind of ['busy', 'read-only', 'unknown-statement', 'misrouted'] as const) {
      deepEqual(decideWriteRetry(failure(kind), 1, 50), AGAIN, kind)
      deepEqual(decideWriteRetry(failure(kind), 1, 49), GIVE_UP, kind)
      deepEqual(decideWriteRetry(failure(kind), 60, 50), AGAIN, kind)
    }
  })

  it('never retries a write that may have run', () => {
    for (const kind of ['failed', 'timeout', 'in-doubt', 'aborted'] as const) {
      deepEqual(decideWriteRetry(failure(kind), 1, 1000), GIVE_UP, kind)
    }
    for (const entry of ['PeerUnavailable', 'ConnectionLost', 'DeadlineExceeded'] as const) {
      deepEqual(decideWriteRetry(error(entry, 'may-have-run'), 1, 1000), GIVE_UP, entry)
    }
  })

  it('retries up to six attempts after errors of writes that have not run, except overload', () => {
    for (const entry of ['PeerUnavailable', 'NoUpstream', 'ConnectionLost'] as const) {
      deepEqual(decideWriteRetry(error(entry, 'not-run'), 5, 1000), AGAIN, entry)
      deepEqual(decideWriteRetry(error(entry, 'not-run'), 6, 1000), GIVE_UP, entry)
      deepEqual(decideWriteRetry(error(entry, 'not-run'), 1, 49), GIVE_UP, entry)
    }
    deepEqual(decideWriteRetry(error('Overloaded', 'not-run'), 1, 1000), GIVE_UP)
  })
})

describe('retrying the begin of a transaction', () => {
  const first = { attempts: 1, deadlinePassed: false, throughHome: false }
  const ELSEWHERE = { action: 'repeat', excludeUpstream: true, mayHaveRun: false, pauseMs: 25 }

  it('excludes the upstream after any failure, up to six attempts', () => {
    for (const cause of [failure('lagging'), failure('failed'), error('ConnectionLost', 'may-have-run')]) {
      deepEqual(decideBeginRetry(cause, { ...first, attempts: 5 }), ELSEWHERE)
      deepEqual(decideBeginRetry(cause, { ...first, attempts: 6 }), GIVE_UP)
    }
  })

  it('leaves the upstream eligible when only its home was lost', () => {
    deepEqual(decideBeginRetry(error('PeerUnavailable', 'not-run'), { ...first, throughHome: true }), {
      ...ELSEWHERE, excludeUpstream: false
    })
  })

  it('gives up on overload, and on NoUpstream unless a home reports it', () => {
    deepEqual(decideBeginRetry(error('Overloaded', 'not-run'), first), GIVE_UP)
    deepEqual(decideBeginRetry(error('Overloaded', 'not-run'), { ...first, throughHome: true }), GIVE_UP)
    deepEqual(decideBeginRetry(error('NoUpstream', 'not-run'), first), GIVE_UP)
    deepEqual(decideBeginRetry(error('NoUpstream', 'not-run'), { ...first, throughHome: true }), ELSEWHERE)
  })

  it('gives up after an error past the deadline', () => {
    deepEqual(decideBeginRetry(error('ConnectionLost', 'not-run'), { ...first, deadlinePassed: true }), GIVE_UP)
  })
})

describe('retrying a statement inside a transaction', () => {
  const answer = (kind: FailureKind, state: TransactionState) => ({ failure: { kind, message: '' }, state })

  it('retries a statement that has not run if the transaction is still open, up to four attempts', () => {
    equal(mayRetryStep(answer('busy', 'open'), 3, false), true)
    equal(mayRetryStep(answer('busy', 'open'), 4, false), false)
    equal(mayRetryStep(answer('busy', 'open'), 1, true), false)
    equal(mayRetryStep(answer('busy', 'failed'), 1, false), false)
    equal(mayRetryStep(answer('failed', 'open'), 1, false), false)
    equal(mayRetryStep({ state: 'open' }, 1, false), false)
  })
})

describe('reporting a retry', () => {
  it('uses the kind of a failure, and the label `connection` for any error', () => {
    equal(retryLabel(failure('lagging')), 'lagging')
    equal(retryReason(failure('lagging')), 'lagging')
    equal(retryLabel(error('PeerUnavailable', 'not-run')), 'connection')
    equal(retryReason(error('PeerUnavailable', 'not-run')), 'PeerUnavailable happened')
  })
})
