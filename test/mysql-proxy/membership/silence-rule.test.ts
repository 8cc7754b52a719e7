import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseMembers } from '../../../src/mysql-proxy/membership/heartbeats.ts'
import { isUnrefuted, stateWhenSilent } from '../../../src/mysql-proxy/membership/silence-rule.ts'
import type { Member } from '../../../src/mysql-proxy/membership/types.ts'

const member = (host: string, change: Partial<Member> = {}): Member => ({
  host, role: 'proxy', failureDomain: 'domain', address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live', ...change
})

describe('stateWhenSilent', () => {
  it('suspects a live member, and takes a leaving one for gone', () => {
    expect(stateWhenSilent('live')).toEqual('suspect')
    expect(stateWhenSilent('leaving')).toEqual('gone')
    expect(stateWhenSilent('suspect')).toEqual(undefined)
    expect(stateWhenSilent('gone')).toEqual(undefined)
  })
})

describe('isUnrefuted', () => {
  it('holds while the member is listed as suspect in the version that was suspected', () => {
    const suspect = member('a', { state: 'suspect' })
    expect(isUnrefuted(suspect, suspect)).toEqual(true)
    expect(isUnrefuted(suspect, member('a', { state: 'suspect', version: 2 }))).toEqual(false)
    expect(isUnrefuted(suspect, member('a', { version: 2 }))).toEqual(false)
    expect(isUnrefuted(suspect, undefined)).toEqual(false)
  })
})

describe('chooseMembers', () => {
  it('reaches every member in turn, two in a round', () => {
    const members = ['a', 'b', 'c', 'd', 'e'].map((host) => member(host))
    const rounds = [1, 2, 3].map((round) => chooseMembers(members, round).map(({ host }) => host))
    expect(rounds).toEqual([['c', 'd'], ['e', 'a'], ['b', 'c']])
  })

  it('sends one heartbeat to a single member', () => {
    expect(chooseMembers([member('a')], 3).map(({ host }) => host)).toEqual(['a'])
    expect(chooseMembers([], 3)).toEqual([])
  })
})
