import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createUpstreamHomes } from '../../../src/entry/homes/upstream-homes.ts'
import { createOwnerOrder } from '../../../src/entry/limits/limit-order.ts'
import { EMPTY_SNAPSHOT, type KnownHost } from '../../../src/entry/registry/snapshot.ts'
import { unitsOf } from '../../../src/placement/capacity.ts'
import { homesOf, orderByScore, orderByWeight } from '../../../src/placement/upstream-homes.ts'

const UPSTREAM = { upstream: 'u', group: 'g', failureDomain: 'x', slots: 3 }
const UNEVEN: Array<number | undefined> = Array.from({ length: 12 }, (_, index) => index < 3 ? 1.35 : 0.32)
const hostsWith = (capacities: Array<number | undefined>): KnownHost[] => capacities.map((capacity, index) =>
  ({ name: `h${index}`, address: 'a', port: 1, failureDomain: 'x', process: 'p', version: 1, capacity }))

describe('a changed capacity in the registry', () => {
  const listeners: Array<() => void> = []
  const registry = {
    self: { name: 'h0', process: 'p' },
    current: EMPTY_SNAPSHOT,
    storeNowAtLeastMs: () => 0,
    onChange: (listener: () => void) => { listeners.push(listener) }
  }
  const change = (capacities: Array<number | undefined>): KnownHost[] => {
    registry.current = { ...EMPTY_SNAPSHOT, liveHosts: hostsWith(capacities) }
    listeners.forEach((listener) => listener())
    return registry.current.liveHosts
  }

  it('replaces the homes and shares that were computed from the previous one', () => {
    const desiredState = { current: { connectionCaps: new Map([['g', 30]]) } as never }
    const homes = createUpstreamHomes({ registry, desiredState, directory: { onChange: () => {} } })
    for (const capacities of [UNEVEN.map(() => 1), UNEVEN, UNEVEN.toReversed()]) {
      const hosts = change(capacities)
      expect(homes.of(UPSTREAM as never)).toEqual(homesOf(UPSTREAM, hosts, 30))
      const placed = homes.placed(UPSTREAM as never)
      expect(placed.shares === undefined).toEqual(new Set(placed.homes.map(unitsOf)).size === 1)
      expect(homes.placed(UPSTREAM as never)).toExactlyEqual(placed)
    }
  })

  it('moves the owners of limits, but only once all hosts announce a capacity', () => {
    const order = createOwnerOrder({ registry, pauses: { runningSince: 0 } })
    const organisations = Array.from({ length: 50 }, (_, index) => `o${index}`)
    // An older release orders without weights; a second owner would grant the whole limit again.
    const mixed = change(UNEVEN.with(5, undefined))
    const { exclusiveSince } = order.ownershipOf('o1')
    expect(organisations.map(order.of)).toEqual(organisations.map((name) => orderByScore(name, mixed)))
    const all = change(UNEVEN)
    expect(organisations.map(order.of)).toEqual(organisations.map((name) => orderByWeight(name, all, unitsOf)))
    expect(order.ownershipOf('o1').exclusiveSince > exclusiveSince).toEqual(true)
  })
})
