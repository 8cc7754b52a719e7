import { describe, it } from 'node:test'
import { expect } from 'earl'
import { connectionLimits, MODEST_START_MS } from '../../src/pools/connection-limits.ts'

/** Caps and numbers of hosts: those of the users, and some around them. */
const SIZES = [[23, 9], [38, 8], [53, 71], [283, 72], [10, 5], [7, 3]] as const

describe('the limits of connections', () => {
  for (const [cap, hosts] of SIZES.filter(([cap, hosts]) => cap >= hosts * 2)) {
    it(`leave room for ${hosts} hosts that are all back while their former connections still count, of ${cap}`, () => {
      const before = connectionLimits(cap, hosts, MODEST_START_MS)
      const after = connectionLimits(cap, hosts, 0)
      expect(hosts * (before.kept + after.share + after.burst) <= cap).toEqual(true)
    })
  }

  for (const [cap, hosts] of SIZES) {
    it(`give each of ${hosts} hosts something, and all its share later, of ${cap}`, () => {
      expect(connectionLimits(cap, hosts, 0).share >= 1).toEqual(true)
      expect(connectionLimits(cap, hosts, MODEST_START_MS).share).toEqual(Math.max(1, Math.floor(cap / hosts)))
    })
  }

  it('are careful while nothing is known', () => {
    expect(connectionLimits(undefined, 0, 0)).toEqual({ kept: 1, share: 1, burst: 0 })
  })
})
