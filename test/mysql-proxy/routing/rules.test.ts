import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { MYSQL_ERROR } from '../../../src/mysql/consts.ts'
import {
  catchUpWaitMs, isFit, pickReplica, refreshIntervalMs, stickyCandidate
} from '../../../src/mysql-proxy/routing/where-reads-run.ts'
import {
  isTransactionSuperseded, mayRepeatBegin, mayRepeatWrite, mayTryElsewhere
} from '../../../src/mysql-proxy/routing/what-is-repeated.ts'
import type { HomeRequest } from '../../../src/mysql-proxy/routing/types.ts'
import { NOTHING_SEEN } from '../../../src/positions/position.ts'

describe('the rule where a read may run', () => {
  const replica = { takesWork: true, end: { term: 2, position: 10 }, ageMs: 50 }

  it('accepts a replica that takes work, covers the floor, and is young enough', () => {
    expect(isFit(replica, { term: 2, position: 10 }, 50)).toEqual(true)
    expect(isFit({ ...replica, takesWork: false }, { term: 2, position: 10 }, 50)).toEqual(false)
    expect(isFit(replica, { term: 2, position: 11 }, 50)).toEqual(false)
    expect(isFit(replica, { term: 2, position: 10 }, 49)).toEqual(false)
  })

  it('lets a session go on with the one replica it read from', () => {
    const seen = { upstream: 'r', incarnation: 'i' }
    const read = { floor: { ...NOTHING_SEEN, seenOn: [seen] }, readIndex: false, dutyActs: true }
    expect(stickyCandidate(read)).toEqual(seen)
    expect(stickyCandidate({ ...read, readIndex: true })).toEqual(undefined)
    expect(stickyCandidate({ ...read, dutyActs: false })).toEqual(undefined)
    expect(stickyCandidate({ ...read, floor: { ...NOTHING_SEEN, seenOn: [seen, seen] } })).toEqual(undefined)
  })

  it('takes the near replica while nothing queues for it, and otherwise the less loaded of two random ones', () => {
    const far = { name: 'far', isNear: false, queued: 0, loadMs: 1 }
    const near = { name: 'near', isNear: true, queued: 0, loadMs: 9 }
    const draws = [0, 0.5]
    const random = (): number => draws.shift()!
    expect(pickReplica([far, near], random)).toEqual('near')
    expect(draws.length).toEqual(2)
    expect(pickReplica([far, { ...near, queued: 1 }], random)).toEqual('far')
    expect(draws.length).toEqual(0)
  })

  it('waits for a replica no longer than the limit and half of the time left', () => {
    expect(catchUpWaitMs(30, 1000)).toEqual(30)
    expect(catchUpWaitMs(30, 40)).toEqual(20)
  })

  it('measures ages again within a quarter of the accepted age, between 20 and 250 ms', () => {
    expect([0, 400, 60_000].map(refreshIntervalMs)).toEqual([20, 100, 250])
  })
})

describe('the rule what is repeated', () => {
  const connectionLost = (verdict: 'not-run' | 'may-have-run'): RequestError =>
    new RequestError(verdict, 'ConnectionLost', { upstream: 'u', reason: 'it broke before the answer' })
  const failed = (code: number): RequestError => new RequestError('not-run', 'StatementFailed', { code, reason: 'no' })

  it('repeats a write after a transient failure that leaves it not run', () => {
    expect(mayRepeatWrite(connectionLost('not-run'), false)).toEqual(true)
    expect(mayRepeatWrite(connectionLost('may-have-run'), false)).toEqual(false)
    expect(mayRepeatWrite(connectionLost('may-have-run'), true)).toEqual(true)
    expect(mayRepeatWrite(failed(MYSQL_ERROR.readOnly), false)).toEqual(true)
    expect(mayRepeatWrite(failed(1062), true)).toEqual(false)
    expect(mayRepeatWrite(new Error('unknown'), true)).toEqual(false)
  })

  it('repeats the begin of a transaction only while nothing has run', () => {
    expect(mayRepeatBegin(connectionLost('not-run'))).toEqual(true)
    expect(mayRepeatBegin(connectionLost('may-have-run'))).toEqual(false)
    expect(mayRepeatBegin(failed(MYSQL_ERROR.readOnly))).toEqual(false)
    expect(isTransactionSuperseded(failed(MYSQL_ERROR.readOnly))).toEqual(true)
    expect(isTransactionSuperseded(connectionLost('not-run'))).toEqual(false)
  })

  it('asks another home after a broken link only what is safe to send twice', () => {
    const request = (type: HomeRequest['type']): HomeRequest => ({ type }) as HomeRequest
    const broken = (verdict: 'not-run' | 'may-have-run'): RequestError =>
      new RequestError(verdict, 'PeerUnavailable', { peer: 'p', reason: 'the link was closed' })
    expect(mayTryElsewhere(broken('may-have-run'), request('execute'))).toEqual(true)
    expect(mayTryElsewhere(broken('may-have-run'), request('commit'))).toEqual(false)
    expect(mayTryElsewhere(broken('not-run'), request('commit'))).toEqual(true)
    expect(mayTryElsewhere(connectionLost('not-run'), request('execute'))).toEqual(false)
    const full = new RequestError('not-run', 'ConnectionLost', { upstream: 'u', reason: 'Too many connections' })
    expect(mayTryElsewhere(full, request('execute'))).toEqual(true)
  })
})
