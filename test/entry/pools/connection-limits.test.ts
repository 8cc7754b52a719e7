import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countHomes } from '../../../src/placement/upstream-homes.ts'
import { connectionLimits, MODEST_START_MS } from '../../../src/entry/pools/connection-limits.ts'

/** Caps and numbers of hosts: those of the users, and some around them. */
const SIZES = [[16, 7], [16, 10], [23, 9], [38, 8], [53, 71], [88, 195], [283, 72], [10, 5], [7, 3]] as const

describe('the limits of connections', () => {
  for (const [cap, hosts] of SIZES) {
    const homes = countHomes(cap, 3, hosts)
    const limits = (isHome: boolean, uptimeMs: number) => connectionLimits({ cap, homes, isHome, uptimeMs })

    it(`leave room for ${hosts} hosts that are all back while their former connections still count, of ${cap}`, () => {
      const before = limits(true, MODEST_START_MS)
      const after = limits(true, 0)
      expect(homes * (before.kept + after.share) <= cap).toEqual(true)
    })

    it(`never add up to more than ${cap} at the homes of ${hosts} hosts, and leave room for others`, () => {
      expect(homes * limits(true, MODEST_START_MS).share <= cap - 2).toEqual(true)
    })

    it(`give each home something at once, and each other host a connection that it does not keep, of ${cap}`, () => {
      expect(limits(true, 0).share >= 1).toEqual(true)
      expect(limits(false, MODEST_START_MS)).toEqual({ kept: 0, share: 1 })
    })
  }

  it('are careful while nothing is known', () => {
    expect(connectionLimits({ cap: undefined, homes: 0, isHome: false, uptimeMs: 0 })).toEqual({ kept: 0, share: 1 })
  })
})
