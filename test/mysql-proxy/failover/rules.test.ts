import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RequestError } from '../../../src/core/errors/index.ts'
import { ConnectionLostError, lossCauseOf } from '../../../src/mysql/connection-lost.ts'
import { chooseSuccessor, nextTerm, type Fenced } from '../../../src/mysql-proxy/failover/choose-successor.ts'
import { countFailure, isUnreachable } from '../../../src/mysql-proxy/failover/unreachable.ts'
import { findElectionReason, mayHandOver, staggerOf } from '../../../src/mysql-proxy/failover/when-to-act.ts'
import type { UpstreamStatus } from '../../../src/mysql-proxy/upstreams/status.ts'

describe('the rule when a primary counts as unreachable', () => {
  const withCode = (code: string): Error => Object.assign(new Error(code), { code })

  it('counts one failure for silence, and all that are needed when the process is down', () => {
    const silent = new RequestError('not-run', 'DeadlineExceeded', { deadlineMs: 150, stage: 'waiting' })
    expect(countFailure(0, 2, silent)).toEqual(1)
    const lost = (error: Error): Error => new ConnectionLostError('not-run', 'u', error.message, lossCauseOf(error))
    expect(countFailure(0, 2, lost(withCode('ECONNREFUSED')))).toEqual(2)
    expect(countFailure(1, 2, lost(withCode('ECONNRESET')))).toEqual(3)
    expect(countFailure(0, 2, lost(withCode('ETIMEDOUT')))).toEqual(1)
    expect(countFailure(0, 2, new ConnectionLostError('not-run', 'u', 'it broke before the answer', 'broken'))).toEqual(2)
  })

  it('does not trust the code of a name with several addresses', () => {
    expect(lossCauseOf(Object.assign(new AggregateError([]), { code: 'ECONNREFUSED' }))).toEqual('other')
  })

  it('needs own failures and two failure domains', () => {
    expect(isUnreachable({ failures: 2, failuresNeeded: 2, domains: 2 })).toEqual(true)
    expect(isUnreachable({ failures: 1, failuresNeeded: 2, domains: 3 })).toEqual(false)
    expect(isUnreachable({ failures: 9, failuresNeeded: 2, domains: 1 })).toEqual(false)
  })
})

describe('the rule when a keeper acts', () => {
  const healthy = { term: 3, deposed: false, stuckRounds: 0, unreachable: false }

  it('finds a reason for a first start, a fenced primary without successor, and an unreachable one', () => {
    expect(findElectionReason(healthy)).toEqual(undefined)
    expect(findElectionReason({ ...healthy, term: 0 })).toEqual('first start: the group has no primary yet')
    expect(findElectionReason({ ...healthy, deposed: true, stuckRounds: 15 })).toEqual(undefined)
    expect(findElectionReason({ ...healthy, deposed: true, stuckRounds: 16 }))
      .toEqual('the primary was fenced and has no successor')
    expect(findElectionReason({ ...healthy, unreachable: true }))
      .toEqual('the primary does not answer observers in 2 failure domains')
  })

  it('lets the first keeper act at once, and each further one later', () => {
    expect(staggerOf(0, 150, 0.9)).toEqual(0)
    expect(staggerOf(1, 150, 0)).toEqual(150)
    expect(staggerOf(2, 150, 1)).toEqual(450)
  })

  it('leaves planned changes to the first keeper with both duties', () => {
    const duties = { reads: 'act', promotion: 'act', draining: 'act', pooling: 'act' } as const
    expect(mayHandOver({ duties, rank: 0, electing: false })).toEqual(true)
    expect(mayHandOver({ duties, rank: 1, electing: false })).toEqual(false)
    expect(mayHandOver({ duties, rank: 0, electing: true })).toEqual(false)
    expect(mayHandOver({ duties: { ...duties, draining: 'observe' }, rank: 0, electing: false })).toEqual(false)
  })
})

describe('the rule which upstream is promoted', () => {
  const status = (logTerm: number, position: number): UpstreamStatus => ({
    term: logTerm, fencedTerm: logTerm, logTerm, position, role: 'replica', primary: 'p', incarnation: 'i', leaving: false
  })
  const fenced = (name: string, logTerm: number, position: number): Fenced =>
    ({ view: { declaration: { name } }, status: status(logTerm, position) }) as unknown as Fenced
  const nameOf = ({ view }: Fenced): string => view.declaration.name
  const stays = (): boolean => false

  it('takes the furthest log by term, then position, whoever is preferred', () => {
    const all = [fenced('a', 1, 90), fenced('b', 2, 10), fenced('c', 2, 9)]
    expect(nameOf(chooseSuccessor(all, { preferred: 'a', isLeaving: stays }))).toEqual('b')
  })

  it('prefers among equally far ones the wanted, then those that stay', () => {
    const all = [fenced('a', 1, 5), fenced('b', 1, 5), fenced('c', 1, 5)]
    expect(nameOf(chooseSuccessor(all, { preferred: 'c', isLeaving: stays }))).toEqual('c')
    expect(nameOf(chooseSuccessor(all, { isLeaving: (name) => name === 'a' }))).toEqual('b')
  })

  it('takes a term above all that were seen', () => {
    expect(nextTerm(2, [status(1, 1), undefined, { ...status(3, 1), fencedTerm: 7 }])).toEqual(8)
  })
})
