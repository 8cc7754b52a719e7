/** Placement of groups and upstreams on hosts; processes of different versions must compute the same. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countHomes, homesOf, orderByScore, scoreOf as scoreOfUpstream } from '../../src/placement/upstream-homes.ts'
import { placeGroup, scoreOf } from '../../src/placement/group-homes.ts'
import { createPlacementCache } from '../../src/mysql-proxy/routing/placement-cache.ts'
import { expectGolden } from './mysql-golden.ts'

const FILE = 'placement'
const DOMAINS = ['seoul-a', 'seoul-b', 'seoul-c']
const HOSTS = Array.from({ length: 12 }, (_value, index) => {
  const host = `host-${index + 1}`
  return { host, name: host, failureDomain: DOMAINS[index % DOMAINS.length]! }
})
const GROUPS = Array.from({ length: 40 }, (_value, index) => `member-${index + 1}`)
const COUNTS = [1, 2, 3, 5]

function placeAll (hosts: typeof HOSTS): Record<string, string[]> {
  return Object.fromEntries(GROUPS.map((group) =>
    [group, COUNTS.map((count) => placeGroup(group, hosts, count).map(({ host }) => host).join(' '))]))
}

describe('homes of groups', () => {
  it('are the same for 40 groups and 12 hosts', () => {
    expectGolden(FILE, 'homes of groups', placeAll(HOSTS))
  })

  it('are independent of the order of hosts', () => {
    expect(placeAll([...HOSTS].reverse())).toEqual(placeAll(HOSTS))
  })

  it('are the same with some hosts absent', () => {
    expectGolden(FILE, 'homes of groups without four hosts', placeAll(HOSTS.slice(4)))
    const inOneDomain = HOSTS.filter(({ failureDomain }) => failureDomain === 'seoul-b')
    expectGolden(FILE, 'homes of groups in one domain', placeAll(inOneDomain))
  })

  it('are the same when cached', () => {
    const cache = createPlacementCache<typeof HOSTS[number]>()
    cache.update(HOSTS.slice(4))
    GROUPS.forEach((group) => cache.place(group, 3))
    cache.update(HOSTS)
    GROUPS.forEach((group) => expect(cache.place(group, 3)).toEqual(placeGroup(group, HOSTS, 3)))
  })

  it('have the same scores', () => {
    expectGolden(FILE, 'scores of groups', GROUPS.slice(0, 5).map((group) => scoreOf(group, 'host-1')))
  })
})

describe('homes of upstreams', () => {
  const upstreams = GROUPS.map((upstream, index) =>
    ({ upstream, failureDomain: DOMAINS[index % 3]!, slots: 2 + index % 4 }))

  it('are the same for 40 upstreams and 12 hosts', () => {
    expectGolden(FILE, 'homes of upstreams', Object.fromEntries(upstreams.map((placed) =>
      [placed.upstream, [16, 25, 60].map((cap) => homesOf(placed, HOSTS, cap).map(({ name }) => name).join(' '))])))
  })

  it('are the same with some hosts absent', () => {
    expectGolden(FILE, 'homes of upstreams without four hosts', Object.fromEntries(upstreams.map((placed) =>
      [placed.upstream, homesOf(placed, HOSTS.slice(4), 60).map(({ name }) => name).join(' ')])))
  })

  it('have the same number, order and scores', () => {
    const order = (group: string): string => orderByScore(group, HOSTS).map(({ name }) => name).join(' ')
    expectGolden(FILE, 'orders', GROUPS.slice(0, 5).map(order))
    expectGolden(FILE, 'scores of upstreams', GROUPS.slice(0, 5).map((group) => scoreOfUpstream(group, 'host-1')))
    expectGolden(FILE, 'counts', [4, 16, 25, 60, 200].flatMap((cap) => [1, 2, 3, 8].flatMap((slots) =>
      [1, 3, 12].map((hosts) => [cap, slots, hosts, countHomes(cap, slots, hosts)].join(' ')))))
  })
})
