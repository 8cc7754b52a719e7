import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseSuccessors, type Candidate } from '../../../src/entry/leadership/choose-successor.ts'

/** Options of {@link candidate}. */
interface CandidateOptions {
  term?: number
  position?: number
  draining?: boolean
}

function candidate (name: string, { term = 2, position = 10, draining = false }: CandidateOptions = {}): Candidate {
  const endpoint = { address: '127.0.0.1', port: 1 }
  return {
    upstream: { upstream: name, group: 'g', endpoint, failureDomain: 'x', slots: 3, draining, claimsPrimary: false },
    report: { role: 'replica', term, received: { term, position } }
  }
}

const rankedNames = (candidates: Candidate[], closedMs = 0): string[] =>
  chooseSuccessors(candidates, { oldPrimary: 'old', term: 2, closedMs }).map(({ upstream }) => upstream.upstream)

describe('chooseSuccessors', () => {
  it('prefers the furthest log position, then the first name', () => {
    expect(rankedNames([candidate('c'), candidate('b'), candidate('a', { position: 9 })])).toEqual(['b', 'c', 'a'])
  })

  it('ranks the old primary after upstreams that stay, and draining ones last', () => {
    const candidates = [candidate('d', { position: 30, draining: true }), candidate('old', { position: 20 }), candidate('a')]
    expect(rankedNames(candidates)).toEqual(['a', 'old', 'd'])
  })

  // Guards against ranking by state before log in a group whose acknowledged commits may be in one log only.
  it('excludes those that may not lead, whatever their rank', () => {
    const candidates = [candidate('d', { position: 30, draining: true }), candidate('a')]
    const chosen = chooseSuccessors(candidates, {
      oldPrimary: 'old', term: 2, closedMs: 0, mayLead: ({ received }) => received.position >= 30
    })
    expect(chosen.map(({ upstream }) => upstream.upstream)).toEqual(['d'])
  })

  it('prefers an upstream with a pending order among equal log positions only', () => {
    const rank = (candidates: Candidate[]): string[] =>
      chooseSuccessors(candidates, { oldPrimary: 'old', term: 2, closedMs: 0, ordered: new Set(['b']) })
        .map(({ upstream }) => upstream.upstream)
    expect(rank([candidate('a'), candidate('b')])).toEqual(['b', 'a'])
    expect(rank([candidate('a', { position: 11 }), candidate('b')])).toEqual(['a', 'b'])
  })

  it('excludes upstreams that have not reached the closed term for ten seconds', () => {
    const candidates = [candidate('a', { term: 1 }), candidate('b')]
    expect(rankedNames(candidates, 9999)).toEqual(['b'])
    expect(rankedNames(candidates, 10_000)).toEqual(['b', 'a'])
  })
})
