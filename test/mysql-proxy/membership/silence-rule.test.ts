import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseTargets } from '../../../src/mysql-proxy/membership/heartbeats.ts'
import { isUnrefuted, stateAfterTimeout } from '../../../src/mysql-proxy/membership/silence-rule.ts'
import type { Member } from '../../../src/mysql-proxy/membership/types.ts'

const member = (host: string, change: Partial<Member> = {}): Member => ({
  host, role: 'proxy', failureDomain: 'domain', address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live', ...change
})

describe('stateWhenSilent', () => {
  it('returns suspect for a live member, gone for a leaving one, and no change otherwise', () => {
    expect(stateAfterTimeout('live')).toEqual('suspect')
    expect(stateAfterTimeout('leaving')).toEqual('gone')
    expect(stateAfterTimeout('suspect')).toEqual(undefined)
    expect(stateAfterTimeout('gone')).toEqual(undefined)
  })
})

describe('isUnrefuted', () => {
  it('is true only while the member is listed as suspect in the suspected version', () => {
    const suspect = member('a', { state: 'suspect' })
    expect(isUnrefuted(suspect, suspect)).toEqual(true)
    expect(isUnrefuted(suspect, member('a', { state: 'suspect', version: 2 }))).toEqual(false)
    expect(isUnrefuted(suspect, member('a', { version: 2 }))).toEqual(false)
    expect(isUnrefuted(suspect, undefined)).toEqual(false)
  })
})

describe('chooseMembers', () => {
  it('chooses two members per round, in round-robin order', () => {
    const members = ['a', 'b', 'c', 'd', 'e'].map((host) => member(host))
    const rounds = [1, 2, 3].map((round) => chooseTargets(members, round).map(({ host }) => host))
    expect(rounds).toEqual([['c', 'd'], ['e', 'a'], ['b', 'c']])
  })

  it('chooses a single member once, and none from an empty list', () => {
    expect(chooseTargets([member('a')], 3).map(({ host }) => host)).toEqual(['a'])
    expect(chooseTargets([], 3)).toEqual([])
  })
})
