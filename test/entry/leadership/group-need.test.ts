import { describe, it } from 'node:test'
import { expect } from 'earl'
import { assessGroup, staggerOf, type AssessOptions, type GroupNeed } from '../../../src/entry/leadership/group-need.ts'
import type { GroupRow, Registry } from '../../../src/entry/registry/index.ts'

const OPEN: GroupRow = {
  epoch: 3, primary: 'a', primaryBornAt: 100, state: 'open', term: 2, writtenBy: 'h1', succession: ''
}
const PRIMARY = { upstream: 'a', draining: false, claimsPrimary: true, bornAt: 100 }

/** What a host knows of a group whose primary works, unless something else is given. */
interface Known {
  row?: GroupRow | undefined
  primary?: typeof PRIMARY | undefined
  unreachableMs?: number
  upstreams?: number
}

function assess (known: Known): GroupNeed | undefined {
  const { row, primary, unreachableMs, upstreams } = {
    row: OPEN, primary: PRIMARY, unreachableMs: undefined, upstreams: 1, ...known
  }
  const unreachableSince = unreachableMs === undefined ? undefined : performance.now() - unreachableMs
  return assessGroup('g', {
    registry: { current: { group: () => ({ row, version: 1 }) } },
    directory: { get: () => primary, ofGroup: () => Array.from({ length: upstreams }, () => PRIMARY) },
    pools: { of: () => ({ health: { unreachableSince } }) }
  } as unknown as AssessOptions)
}

describe('the need of a group', () => {
  it('is none while its primary works, and while no upstream of it is known', () => {
    expect(assess({})).toEqual(undefined)
    expect(assess({ upstreams: 0, row: undefined })).toEqual(undefined)
  })

  it('follows from its row', () => {
    expect(assess({ row: undefined })).toEqual('first-primary')
    expect(assess({ row: { ...OPEN, state: 'closed' } })).toEqual('unfinished')
  })

  it('follows from what the directory shows of the primary', () => {
    expect(assess({ primary: undefined })).toEqual('gone')
    expect(assess({ primary: { ...PRIMARY, bornAt: 101 } })).toEqual('reborn')
    expect(assess({ primary: { ...PRIMARY, draining: true } })).toEqual('draining')
    expect(assess({ primary: { ...PRIMARY, claimsPrimary: false } })).toEqual('deposed')
  })

  it('is another primary once this one has been unreachable for a while', () => {
    expect(assess({ unreachableMs: 50 })).toEqual(undefined)
    expect(assess({ unreachableMs: 400 })).toEqual('unreachable')
  })
})

describe('the turn of a host', () => {
  const names = ['h1', 'h2', 'h3', 'h4']
  const delays = (need: GroupNeed, holder?: string, homes?: string[]): number[] => names.map((name) => {
    const current = {
      liveHosts: names.map((host) => ({ name: host })),
      promotionLease: { row: holder === undefined ? undefined : { holder }, version: 1 }
    }
    return staggerOf('g', need, { self: { name, process: 'p' }, current } as unknown as Registry, homes)
  })

  it('comes 120 ms after that of the host before it', () => {
    expect(delays('gone').toSorted((left, right) => left - right)).toEqual([0, 120, 240, 360])
  })

  it('comes first for the holder of the promotion lease', () => {
    for (const [index, holder] of names.entries()) {
      expect(delays('gone', holder)[index]).toEqual(0)
    }
  })

  it('comes after those of the homes of a primary that cannot be reached', () => {
    const [first, second, third, fourth] = delays('unreachable', undefined, ['h3', 'h4'])
    expect(Math.max(third!, fourth!) < Math.min(first!, second!)).toEqual(true)
  })

  it('comes later for a primary that does not claim to be one, whose row may be late', () => {
    expect(Math.min(...delays('deposed'))).toEqual(1500)
  })
})
