import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { createMemberList } from '../../../src/mysql-proxy/membership/member-list.ts'
import { MEMBER_STATES, type Member } from '../../../src/mysql-proxy/membership/types.ts'

const opinion = fc.record({
  host: fc.constantFrom('a', 'b', 'c'),
  role: fc.constant('proxy' as const),
  failureDomain: fc.constant('domain'),
  address: fc.constant('127.0.0.1'),
  port: fc.constant(1),
  startedAt: fc.integer({ min: 1, max: 2 }),
  version: fc.integer({ min: 1, max: 3 }),
  state: fc.constantFrom(...MEMBER_STATES)
})

describe('createMemberList', () => {
  it('converges to the same list for any order and repetition of opinions', () => {
    fc.assert(fc.property(fc.array(opinion, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (opinions, order) => {
      const first = createMemberList()
      opinions.forEach((member) => first.merge(member))
      const second = createMemberList()
      const shuffled = [...opinions, ...opinions].map((member) => ({ member, key: order.next().value as number }))
      shuffled.sort((left, right) => left.key - right.key).forEach(({ member }) => second.merge(member))
      expect(second.digest()).toEqual(first.digest())
    }), { seed: 5, numRuns: 200 })
  })

  it('ignores an outdated opinion on a gone process, and revives it after a restart', () => {
    const list = createMemberList()
    const member: Member = {
      host: 'a', role: 'proxy', failureDomain: 'd', address: '127.0.0.1', port: 1, startedAt: 5, version: 1, state: 'gone'
    }
    list.merge(member)
    expect(list.merge({ ...member, state: 'live' })).toEqual(false)
    expect(list.merge({ ...member, startedAt: 6, state: 'live' })).toEqual(true)
  })
})
