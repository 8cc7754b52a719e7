import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseProofPeers } from '../../../src/entry/freshness/peers-asked.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'

const hostsNamed = (prefix: string, count: number): KnownHost[] => Array.from({ length: count }, (_, index) =>
  ({ name: `${prefix}${index}`, process: 'p', address: '10.0.0.1', port: 1, failureDomain: 'x', version: 1 }))
const namesOf = (hosts: KnownHost[]): string[] => hosts.map(({ name }) => name).sort()

describe('chooseProofPeers', () => {
  const others = hostsNamed('o', 20)

  it('chooses homes first, then others, eight in total', () => {
    const homes = hostsNamed('h', 3)
    const { first, rest } = chooseProofPeers(homes, [...homes, ...others], 'o0')
    expect(first.every((host) => homes.includes(host))).toEqual(true)
    expect([first.length, rest.length]).toEqual([2, 6])
    expect(namesOf([...first, ...rest].filter((host) => homes.includes(host)))).toEqual(['h0', 'h1', 'h2'])
  })

  it('chooses all homes except this host if there are more than eight', () => {
    const homes = hostsNamed('h', 11)
    const { first, rest } = chooseProofPeers(homes, [...homes.slice(1), ...others], 'h0')
    expect(namesOf([...first, ...rest])).toEqual(namesOf(homes.slice(1)))
  })
})
