import { describe, it } from 'node:test'
import { expect } from 'earl'
import { assessGroup, actionDelayMs, type AssessOptions, type GroupNeed } from '../../../src/entry/leadership/group-need.ts'
import type { GroupRow, Registry } from '../../../src/entry/registry/index.ts'

const OPEN: GroupRow = {
  epoch: 3, primary: 'a', primaryBornAt: 100, state: 'open', term: 2, writtenBy: 'h1', succession: ''
}
const PRIMARY = { upstream: 'a', draining: false, claimsPrimary: true, bornAt: 100 }

/** Overrides of the state of a group whose primary works. */
interface GroupState {
  row?: GroupRow | undefined
  primary?: typeof PRIMARY | undefined
  unreachableMs?: number
  upstreams?: number
  isGone?: boolean
}

function assess (state: GroupState): GroupNeed | undefined {
  const { row, primary, unreachableMs, upstreams, isGone } = {
    row: OPEN, primary: PRIMARY, unreachableMs: undefined, upstreams: 1, isGone: true, ...state
  }
  const unreachableSince = unreachableMs === undefined ? undefined : performance.now() - unreachableMs
  return assessGroup('g', {
    registry: { current: { group: () => ({ row, version: 1 }) } },
    directory: {
      get: () => primary, ofGroup: () => Array.from({ length: upstreams }, () => PRIMARY), isGone: () => isGone
    },
    pools: { of: () => ({ health: { unreachableSince } }) }
  } as unknown as AssessOptions)
}

describe('assessGroup', () => {
  it('returns no need while the primary works or no upstream is known', () => {
    expect(assess({})).toEqual(undefined)
    expect(assess({ upstreams: 0, row: undefined })).toEqual(undefined)
  })

  it('derives the need from the row of the group', () => {
    expect(assess({ row: undefined })).toEqual('first-primary')
    expect(assess({ row: { ...OPEN, state: 'closed' } })).toEqual('unfinished')
  })

  it('derives the need from the primary in the directory', () => {
    expect(assess({ primary: undefined })).toEqual('gone')
    expect(assess({ primary: { ...PRIMARY, bornAt: 101 } })).toEqual('reborn')
    expect(assess({ primary: { ...PRIMARY, draining: true } })).toEqual('draining')
    expect(assess({ primary: { ...PRIMARY, claimsPrimary: false } })).toEqual('deposed')
  })

  it('returns no need while the row of an unknown primary may have expired during an outage of the store', () => {
    expect(assess({ primary: undefined, isGone: false })).toEqual(undefined)
  })

  it('requires a failover once the primary has been unreachable for long enough', () => {
    expect(assess({ unreachableMs: 50 })).toEqual(undefined)
    expect(assess({ unreachableMs: 400 })).toEqual('unreachable')
  })
})

describe('actionDelayMs', () => {
  const names = ['h1', 'h2', 'h3', 'h4']
  const delays = (need: GroupNeed, holder?: string, homes?: string[]): number[] => names.map((name) => {
    const current = {
      liveHosts: names.map((host) => ({ name: host })),
      promotionLease: { row: holder === undefined ? undefined : { holder }, version: 1 }
    }
    return actionDelayMs('g', need, { self: { name, process: 'p' }, current } as unknown as Registry, homes)
  })

  it('delays each host by 120 ms more than the one before it', () => {
    expect(delays('gone').toSorted((left, right) => left - right)).toEqual([0, 120, 240, 360])
  })

  it('is zero for the holder of the promotion lease', () => {
    for (const [index, holder] of names.entries()) {
      expect(delays('gone', holder)[index]).toEqual(0)
    }
  })

  it('is longer for other hosts than for the homes of an unreachable primary', () => {
    const [first, second, third, fourth] = delays('unreachable', undefined, ['h3', 'h4'])
    expect(Math.max(third!, fourth!) < Math.min(first!, second!)).toEqual(true)
  })

  it('is at least 1500 ms for a deposed primary, whose row may be outdated', () => {
    expect(Math.min(...delays('deposed'))).toEqual(1500)
  })
})
