import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countHomes } from '../../../src/placement/upstream-homes.ts'
import { connectionLimits, STARTUP_PERIOD_MS } from '../../../src/entry/pools/connection-limits.ts'

/** Pairs of a connection cap and a number of hosts. */
const SIZES = [[16, 7], [16, 10], [23, 9], [38, 8], [53, 71], [88, 195], [283, 72], [10, 5], [7, 3]] as const

describe('connection limits', () => {
  for (const [cap, hosts] of SIZES) {
    const homes = countHomes(cap, 3, hosts)
    const limits = (isHome: boolean, uptimeMs: number) => connectionLimits({ cap, homes, isHome, uptimeMs })

    it(`let ${hosts} hosts restart within a cap of ${cap} while their former connections still count`, () => {
      const beforeRestart = limits(true, STARTUP_PERIOD_MS)
      const afterRestart = limits(true, 0)
      expect(homes * (beforeRestart.retained + afterRestart.maximum) <= cap).toEqual(true)
    })

    it(`stay within a cap of ${cap} at all homes of ${hosts} hosts, with a reserve`, () => {
      expect(homes * limits(true, STARTUP_PERIOD_MS).maximum <= cap - 2).toEqual(true)
    })

    it(`give a home at least one connection, and other hosts one that is not retained, at a cap of ${cap}`, () => {
      expect(limits(true, 0).maximum >= 1).toEqual(true)
      expect(limits(false, STARTUP_PERIOD_MS)).toEqual({ retained: 0, maximum: 1 })
    })
  }

  it('allow one connection while the cap is unknown', () => {
    expect(connectionLimits({ cap: undefined, homes: 0, isHome: false, uptimeMs: 0 }))
      .toEqual({ retained: 0, maximum: 1 })
  })
})
