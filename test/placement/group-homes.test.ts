import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { placeGroup, type Candidate } from '../../src/placement/group-homes.ts'
import { createPlacementCache } from '../../src/mysql-proxy/routing/placement-cache.ts'

const createCandidate = (index: number): Candidate => ({ host: `host-${index}`, failureDomain: `domain-${index % 4}` })
const GROUPS = Array.from({ length: 40 }, (_value, index) => `group-${index}`)

describe('placeGroup', () => {
  it('chooses from different failure domains when there are enough', () => {
    const candidates = Array.from({ length: 20 }, (_value, index) => createCandidate(index))
    GROUPS.forEach((group) => {
      const domains = placeGroup(group, candidates, 3).map(({ failureDomain }) => failureDomain)
      expect(new Set(domains).size).toEqual(3)
    })
  })

  it('chooses several candidates of one failure domain when there are too few', () => {
    const candidates = [0, 4, 8].map(createCandidate)
    expect(placeGroup('group', candidates, 3).length).toEqual(3)
  })
})

describe('createPlacementCache', () => {
  it('agrees with placeGroup after any sequence of membership changes', () => {
    const members = fc.uniqueArray(fc.integer({ min: 0, max: 15 }), { minLength: 1 })
    const sets = fc.array(members, { minLength: 2, maxLength: 8 })
    fc.assert(fc.property(sets, (steps) => {
      const cache = createPlacementCache<Candidate>()
      for (const step of steps) {
        const members = step.map(createCandidate)
        cache.update(members)
        GROUPS.forEach((group) => expect(cache.place(group, 3)).toEqual(placeGroup(group, members, 3)))
      }
    }), { seed: 3, numRuns: 60 })
  })
})
