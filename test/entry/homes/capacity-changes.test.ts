import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createUpstreamHomes } from '../../../src/entry/homes/upstream-homes.ts'
import { createOwnerOrder } from '../../../src/entry/limits/limit-order.ts'
import { createSnapshot, type RegistrySnapshot } from '../../../src/entry/registry/snapshot.ts'
import { homesOf, orderByScore, orderByWeight } from '../../../src/placement/upstream-homes.ts'
import { unitsOf } from '../../../src/placement/capacity.ts'

const NAMES = Array.from({ length: 12 }, (_, index) => `h${index}`)
const UPSTREAM = { upstream: 'u', group: 'g', failureDomain: 'x', slots: 3 }
const CAP = 30

/** Registry whose rows hold the given capacities; without one the row is that of an older release. */
class Rows {
  readonly self = { name: 'h0', process: 'p' }
  current: RegistrySnapshot
  notify = (): void => {}
  private version = 0

  constructor (capacities: Array<number | undefined>) {
    this.current = this.write(capacities)
  }

  onChange = (listener: () => void): void => { this.notify = listener }

  write (capacities: Array<number | undefined>): RegistrySnapshot {
    this.version++
    const rows = NAMES.map((name, index) => {
      const value = JSON.stringify({
        address: 'a', port: 1, failureDomain: 'x', process: 'p', capacity: capacities[index]
      })
      const before = this.current?.rows.find(({ key }) => key === `host/${name}`)
      return before?.value === value ? before : { key: `host/${name}`, value, version: this.version }
    })
    this.current = createSnapshot(rows, this.version, 0, this.current)
    this.notify()
    return this.current
  }
}

const equal = NAMES.map(() => 1)
const uneven: Array<number | undefined> = NAMES.map((_, index) => index < 3 ? 1.35 : 0.32)

describe('a changed capacity in the registry', () => {
  it('replaces the homes and shares that were computed from the previous one', () => {
    const rows = new Rows(equal)
    const homes = createUpstreamHomes({
      registry: rows,
      desiredState: { current: { connectionCaps: new Map([['g', CAP]]) } as never },
      directory: { onChange: () => {} }
    })
    const expectCurrent = (): void => expect(homes.of(UPSTREAM as never))
      .toEqual(homesOf(UPSTREAM, rows.current.liveHosts, CAP))
    expectCurrent()
    expect(homes.placed(UPSTREAM as never).shares).toEqual(undefined)
    rows.write(uneven)
    expectCurrent()
    const placed = homes.placed(UPSTREAM as never)
    expect(placed.shares!.size).toEqual(homes.of(UPSTREAM as never).length)
    expect(homes.placed(UPSTREAM as never)).toExactlyEqual(placed)
  })

  it('moves the owners of limits, but only once all hosts announce a capacity', () => {
    const rows = new Rows(uneven.with(5, undefined))
    const order = createOwnerOrder({ registry: rows, pauses: { runningSince: 0 } })
    const organisations = Array.from({ length: 50 }, (_, index) => `o${index}`)
    const { exclusiveSince } = order.ownershipOf('o1')
    // An older release orders without weights; a second owner would grant the whole limit again.
    expect(organisations.map(order.of)).toEqual(organisations.map((name) => orderByScore(name, rows.current.liveHosts)))
    rows.write(uneven)
    expect(organisations.map(order.of))
      .toEqual(organisations.map((name) => orderByWeight(name, rows.current.liveHosts, unitsOf)))
    expect(order.ownershipOf('o1').exclusiveSince > exclusiveSince).toEqual(true)
  })
})
