import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { MYSQL_ERROR } from '../../../src/mysql/consts.ts'
import {
  catchUpWaitMs, isEligible, pickReplica, refreshIntervalMs, stickyCandidate
} from '../../../src/mysql-proxy/routing/where-reads-run.ts'
import {
  isTransactionSuperseded, mayRetryBegin, mayRetryWrite, mayTryAnotherHome
} from '../../../src/mysql-proxy/routing/what-is-repeated.ts'
import type { HomeRequest } from '../../../src/mysql-proxy/routing/types.ts'
import { NOTHING_SEEN } from '../../../src/positions/position.ts'

describe('selection of a replica for a read', () => {
  const replica = { isAvailable: true, end: { term: 2, position: 10 }, ageMs: 50 }

  it('accepts a replica that is available, covers the floor, and is recent enough', () => {
    expect(isEligible(replica, { term: 2, position: 10 }, 50)).toEqual(true)
    expect(isEligible({ ...replica, isAvailable: false }, { term: 2, position: 10 }, 50)).toEqual(false)
    expect(isEligible(replica, { term: 2, position: 11 }, 50)).toEqual(false)
    expect(isEligible(replica, { term: 2, position: 10 }, 49)).toEqual(false)
  })

  it('keeps a session on the only replica it has read from', () => {
    const seen = { upstream: 'r', incarnation: 'i' }
    const read = { floor: { ...NOTHING_SEEN, seenOn: [seen] }, readIndex: false, replicaReadsEnabled: true }
    expect(stickyCandidate(read)).toEqual(seen)
    expect(stickyCandidate({ ...read, readIndex: true })).toEqual(undefined)
    expect(stickyCandidate({ ...read, replicaReadsEnabled: false })).toEqual(undefined)
    expect(stickyCandidate({ ...read, floor: { ...NOTHING_SEEN, seenOn: [seen, seen] } })).toEqual(undefined)
  })

  it('prefers an idle replica in the local failure domain, and otherwise the less loaded of two random ones', () => {
    const remote = { name: 'remote', isInLocalDomain: false, queued: 0, loadMs: 1 }
    const local = { name: 'local', isInLocalDomain: true, queued: 0, loadMs: 9 }
    const draws = [0, 0.5]
    const random = (): number => draws.shift()!
    expect(pickReplica([remote, local], random)).toEqual('local')
    expect(draws.length).toEqual(2)
    expect(pickReplica([remote, { ...local, queued: 1 }], random)).toEqual('remote')
    expect(draws.length).toEqual(0)
  })

  it('limits the wait for a replica to the catch-up limit and half of the time left', () => {
    expect(catchUpWaitMs(30, 1000)).toEqual(30)
    expect(catchUpWaitMs(30, 40)).toEqual(20)
  })

  it('refreshes ages at a quarter of the accepted age, between 20 and 250 ms', () => {
    expect([0, 400, 60_000].map(refreshIntervalMs)).toEqual([20, 100, 250])
  })
})

describe('retry rules', () => {
  const connectionLost = (verdict: 'not-run' | 'may-have-run'): RequestError =>
    new RequestError(verdict, 'ConnectionLost', { upstream: 'u', reason: 'it broke before the answer' })
  const failed = (code: number): RequestError => new RequestError('not-run', 'StatementFailed', { code, reason: 'no' })

  it('retries a write after a transient failure if it did not run or is repeatable', () => {
    expect(mayRetryWrite(connectionLost('not-run'), false)).toEqual(true)
    expect(mayRetryWrite(connectionLost('may-have-run'), false)).toEqual(false)
    expect(mayRetryWrite(connectionLost('may-have-run'), true)).toEqual(true)
    expect(mayRetryWrite(failed(MYSQL_ERROR.readOnly), false)).toEqual(true)
    expect(mayRetryWrite(failed(1062), true)).toEqual(false)
    expect(mayRetryWrite(new Error('unknown'), true)).toEqual(false)
  })

  it('retries the begin of a transaction only if the connection was lost before anything ran', () => {
    expect(mayRetryBegin(connectionLost('not-run'))).toEqual(true)
    expect(mayRetryBegin(connectionLost('may-have-run'))).toEqual(false)
    expect(mayRetryBegin(failed(MYSQL_ERROR.readOnly))).toEqual(false)
    expect(isTransactionSuperseded(failed(MYSQL_ERROR.readOnly))).toEqual(true)
    expect(isTransactionSuperseded(connectionLost('not-run'))).toEqual(false)
  })

  it('resends a request to another home only if it did not run or is safe to resend', () => {
    const request = (type: HomeRequest['type']): HomeRequest => ({ type }) as HomeRequest
    const broken = (verdict: 'not-run' | 'may-have-run'): RequestError =>
      new RequestError(verdict, 'PeerUnavailable', { peer: 'p', reason: 'the link was closed' })
    expect(mayTryAnotherHome(broken('may-have-run'), request('execute'))).toEqual(true)
    expect(mayTryAnotherHome(broken('may-have-run'), request('commit'))).toEqual(false)
    expect(mayTryAnotherHome(broken('not-run'), request('commit'))).toEqual(true)
    expect(mayTryAnotherHome(connectionLost('not-run'), request('execute'))).toEqual(false)
    const full = new RequestError('not-run', 'ConnectionLost', { upstream: 'u', reason: 'Too many connections' })
    expect(mayTryAnotherHome(full, request('execute'))).toEqual(true)
  })
})
