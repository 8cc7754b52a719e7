import { describe, it } from 'node:test'
import { expect } from 'earl'
import { findAcknowledgedEnd, hasLogUpTo, type KnownLogs } from '../../../src/entry/leadership/acknowledged-logs.ts'
import type { Candidate } from '../../../src/entry/leadership/choose-successor.ts'
import { isPlannedChangeDue } from '../../../src/entry/leadership/planned-change.ts'
import type { KnownUpstream } from '../../../src/entry/directory/index.ts'

const OLD_PRIMARY = 'old'
const DRAIN_MS = 7000

function upstream (name: string, drainingMs?: number): KnownUpstream {
  const endpoint = { address: '127.0.0.1', port: 1 }
  const drainingSince = drainingMs === undefined ? undefined : performance.now() - drainingMs
  return {
    upstream: name,
    group: 'g',
    endpoint,
    failureDomain: 'x',
    slots: 3,
    draining: drainingMs !== undefined,
    drainingSince,
    claimsPrimary: false
  }
}

function candidate (name: string, position: number, term = 2): Candidate {
  return { upstream: upstream(name), report: { role: 'replica', term, received: { term, position } } }
}

// Guards against a promotion that goes by the replicas that answered, although a silent one may have more.
describe('the end of the acknowledged commits', () => {
  const endOf = (logs: Partial<KnownLogs>, synchronousReplicas = 1): number | undefined => {
    const group = { oldPrimary: OLD_PRIMARY, synchronousReplicas }
    return findAcknowledgedEnd({ candidates: [], silent: [], ...logs }, group)?.position
  }

  it('is the furthest log of the replicas if all of them answer, whatever the old primary has', () => {
    expect(endOf({ candidates: [candidate(OLD_PRIMARY, 12), candidate('a', 10), candidate('b', 8)] })).toEqual(10)
  })

  it('is not known while as many replicas are silent as must have received a commit', () => {
    expect(endOf({ candidates: [candidate('a', 10)], silent: ['b'] })).toEqual(undefined)
    expect(endOf({ candidates: [candidate('a', 10)], silent: ['b'] }, 2)).toEqual(10)
    expect(endOf({ candidates: [candidate('a', 10)], silent: ['b', 'c'] }, 2)).toEqual(undefined)
  })

  it('is that of the old primary if it has answered and replicas are silent', () => {
    expect(endOf({ candidates: [candidate('a', 10)], silent: ['b'], oldPrimaryEnd: { term: 2, position: 12 } })).toEqual(12)
  })

  it('excludes shorter logs, logs of an earlier term, and all of them while it is not known', () => {
    const reaches = (position: number, term = 2): boolean =>
      hasLogUpTo({ term: 2, position: 10 })(candidate('a', position, term).report)
    expect([reaches(10), reaches(9), reaches(30, 1)]).toEqual([true, false, false])
    expect(hasLogUpTo(undefined)(candidate('a', 10).report)).toEqual(false)
  })
})

describe('a planned change with synchronous replicas', () => {
  const isDue = async (drainingMs: number, reported: number | undefined, synchronousReplicas = 1): Promise<boolean> => {
    const primary = upstream('p', drainingMs)
    const replica = upstream('a')
    return await isPlannedChangeDue({
      group: 'g',
      primary: 'p',
      synchronousReplicas,
      drainMs: DRAIN_MS,
      directory: { get: () => primary, ofGroup: () => [primary, replica] },
      pools: {
        probe: async ({ upstream: name }) => name === 'p'
          ? candidate('p', 10).report
          : reported === undefined ? undefined : candidate('a', reported).report
      }
    })
  }

  it('starts once an upstream that stays has received the log', async () => {
    expect([await isDue(100, 10), await isDue(100, 9), await isDue(100, undefined)]).toEqual([true, false, false])
  })

  it('starts in any case when the primary may not be used any more, or without synchronous replicas', async () => {
    expect([await isDue(DRAIN_MS, undefined), await isDue(100, undefined, 0)]).toEqual([true, true])
  })
})
