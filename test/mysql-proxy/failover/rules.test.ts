import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { ConnectionLostError, lossCauseOf } from '../../../src/mysql/connection-lost.ts'
import { chooseSuccessor, nextTerm, type FencedUpstream } from '../../../src/mysql-proxy/failover/choose-successor.ts'
import { countFailure, isUnreachable } from '../../../src/mysql-proxy/failover/unreachable.ts'
import { computeElectionDelay, findElectionReason, mayHandOver } from '../../../src/mysql-proxy/failover/when-to-act.ts'
import type { UpstreamStatus } from '../../../src/mysql-proxy/upstreams/status.ts'

describe('unreachable primary', () => {
  const withCode = (code: string): Error => Object.assign(new Error(code), { code })

  it('counts one failure for a timeout, and reaches the threshold at once when the process is down', () => {
    const timeout = new RequestError('not-run', 'DeadlineExceeded', { deadlineMs: 150, stage: 'waiting' })
    expect(countFailure(0, 2, timeout)).toEqual(1)
    const lost = (error: Error): Error => new ConnectionLostError('not-run', 'u', error.message, lossCauseOf(error))
    expect(countFailure(0, 2, lost(withCode('ECONNREFUSED')))).toEqual(2)
    expect(countFailure(1, 2, lost(withCode('ECONNRESET')))).toEqual(3)
    expect(countFailure(0, 2, lost(withCode('ETIMEDOUT')))).toEqual(1)
    expect(countFailure(0, 2, new ConnectionLostError('not-run', 'u', 'it broke before the answer', 'broken'))).toEqual(2)
  })

  it('ignores the error code when a host name resolves to several addresses', () => {
    expect(lossCauseOf(Object.assign(new AggregateError([]), { code: 'ECONNREFUSED' }))).toEqual('other')
  })

  it('requires enough own failures and observers in two failure domains', () => {
    expect(isUnreachable({ failures: 2, failuresNeeded: 2, domains: 2 })).toEqual(true)
    expect(isUnreachable({ failures: 1, failuresNeeded: 2, domains: 3 })).toEqual(false)
    expect(isUnreachable({ failures: 9, failuresNeeded: 2, domains: 1 })).toEqual(false)
  })
})

describe('election decisions of a keeper', () => {
  const healthy = { term: 3, deposed: false, stalledRounds: 0, unreachable: false }

  it('returns a reason on first start, for a fenced primary without a successor, and for an unreachable primary', () => {
    expect(findElectionReason(healthy)).toEqual(undefined)
    expect(findElectionReason({ ...healthy, term: 0 })).toEqual('first start: the group has no primary yet')
    expect(findElectionReason({ ...healthy, deposed: true, stalledRounds: 15 })).toEqual(undefined)
    expect(findElectionReason({ ...healthy, deposed: true, stalledRounds: 16 }))
      .toEqual('the primary was fenced and has no successor')
    expect(findElectionReason({ ...healthy, unreachable: true }))
      .toEqual('the primary does not answer observers in 2 failure domains')
  })

  it('delays elections in proportion to the rank of the keeper', () => {
    expect(computeElectionDelay(0, 150, 0.9)).toEqual(0)
    expect(computeElectionDelay(1, 150, 0)).toEqual(150)
    expect(computeElectionDelay(2, 150, 1)).toEqual(450)
  })

  it('allows a handover only to the first keeper, with both duties and no election in progress', () => {
    const duties = { reads: 'act', promotion: 'act', draining: 'act', pooling: 'act' } as const
    expect(mayHandOver({ duties, rank: 0, electing: false })).toEqual(true)
    expect(mayHandOver({ duties, rank: 1, electing: false })).toEqual(false)
    expect(mayHandOver({ duties, rank: 0, electing: true })).toEqual(false)
    expect(mayHandOver({ duties: { ...duties, draining: 'observe' }, rank: 0, electing: false })).toEqual(false)
  })
})

describe('choice of the upstream to promote', () => {
  const status = (logTerm: number, position: number): UpstreamStatus => ({
    term: logTerm, fencedTerm: logTerm, logTerm, position, role: 'replica', primary: 'p', incarnation: 'i', leaving: false
  })
  const fenced = (name: string, logTerm: number, position: number): FencedUpstream =>
    ({ view: { declaration: { name } }, status: status(logTerm, position) }) as unknown as FencedUpstream
  const nameOf = ({ view }: FencedUpstream): string => view.declaration.name
  const isNotLeaving = (): boolean => false

  it('chooses the most advanced log by term, then position, regardless of preference', () => {
    const all = [fenced('a', 1, 90), fenced('b', 2, 10), fenced('c', 2, 9)]
    expect(nameOf(chooseSuccessor(all, { preferred: 'a', isLeaving: isNotLeaving }))).toEqual('b')
  })

  it('breaks ties by preference, then in favour of upstreams that are not leaving', () => {
    const all = [fenced('a', 1, 5), fenced('b', 1, 5), fenced('c', 1, 5)]
    expect(nameOf(chooseSuccessor(all, { preferred: 'c', isLeaving: isNotLeaving }))).toEqual('c')
    expect(nameOf(chooseSuccessor(all, { isLeaving: (name) => name === 'a' }))).toEqual('b')
  })

  it('chooses a term above all known terms', () => {
    expect(nextTerm(2, [status(1, 1), undefined, { ...status(3, 1), fencedTerm: 7 }])).toEqual(8)
  })
})
