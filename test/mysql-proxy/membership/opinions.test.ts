import { describe, it } from 'node:test'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { createMemberList } from '../../../src/mysql-proxy/membership/member-list.ts'
import { createOpinions } from '../../../src/mysql-proxy/membership/opinions.ts'
import type { Member } from '../../../src/mysql-proxy/membership/types.ts'

const memberNamed = (host: string): Member => ({
  host, role: 'proxy', failureDomain: 'x', address: '127.0.0.1', port: 1, startedAt: 1, version: 1, state: 'live'
})
/** Number of simultaneous changes; more than fit into one heartbeat. */
const CHANGED = 40

describe('takeChanges', () => {
  it('returns each change equally often when more changes are pending than fit into one heartbeat', () => {
    const opinions = createOpinions({
      self: memberNamed('self'), list: createMemberList(), logger: silentLogger, onChange: () => {}, onUnavailable: () => {}
    })
    const hosts = Array.from({ length: CHANGED }, (_value, index) => `host-${index}`)
    hosts.forEach((host) => opinions.hear(memberNamed(host)))
    const carried = new Map<string, number>()
    for (let heartbeat = 0; heartbeat < CHANGED; heartbeat++) {
      opinions.takeChanges().forEach(({ host }) => carried.set(host, (carried.get(host) ?? 0) + 1))
    }
    opinions.close()
    const times = hosts.map((host) => carried.get(host) ?? 0)
    expect([...new Set(times)].length).toEqual(1)
    expect(times[0]! > 0).toEqual(true)
  })
})

describe('hear', () => {
  // Others keep the record of the former process, which counts as newer, for ten minutes.
  it('overrides the record of a former process that started later by the clock', () => {
    const list = createMemberList()
    const former = { ...memberNamed('self'), startedAt: 5000, version: 3, state: 'gone' as const }
    list.merge(former)
    const opinions = createOpinions({
      self: { ...memberNamed('self'), startedAt: 2000 },
      list: createMemberList(),
      logger: silentLogger,
      onChange: () => {},
      onUnavailable: () => {}
    })
    opinions.hear(former)
    opinions.takeChanges().forEach(list.merge)
    opinions.close()
    expect(list.get('self')?.state).toEqual('live')
  })
})
