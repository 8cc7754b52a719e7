import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createTableCopy } from '../../../src/entry/registry/table-copy.ts'

const row = (key: string, version: number) => ({ key, value: `${key}${version}`, version })

describe('table copy', () => {
  it('returns undefined before the first read', async () => {
    expect(await createTableCopy().changesSince(undefined, 0)).toEqual(undefined)
  })

  it('returns all rows without a version, and the changes since an earlier version', async () => {
    const copy = createTableCopy()
    copy.replace([row('a', 1), row('b', 2)], 5)
    copy.update([row('b', 7)], ['a'], 8)
    expect(await copy.changesSince(undefined, 0)).toEqual({ version: 8, isWhole: true, rows: [row('b', 7)], removed: [] })
    expect(await copy.changesSince(5, 0)).toEqual({ version: 8, isWhole: false, rows: [row('b', 7)], removed: ['a'] })
    expect(await copy.changesSince(8, 0)).toEqual({ version: 8, isWhole: false, rows: [], removed: [] })
  })

  it('returns all rows for a version before its first read', async () => {
    const copy = createTableCopy()
    copy.replace([row('a', 1)], 5)
    expect((await copy.changesSince(4, 0))?.isWhole).toEqual(true)
  })

  it('returns undefined for a newer version than its own', async () => {
    const copy = createTableCopy()
    copy.replace([row('a', 1)], 5)
    expect(await copy.changesSince(6, 0)).toEqual(undefined)
  })

  it('does not report a row as removed after it was added again', async () => {
    const copy = createTableCopy()
    copy.replace([row('a', 1)], 5)
    copy.update([], ['a'], 6)
    copy.update([row('a', 7)], [], 7)
    expect(await copy.changesSince(5, 0)).toEqual({ version: 7, isWhole: false, rows: [row('a', 7)], removed: [] })
  })

  it('answers a waiting request after a change', async () => {
    const copy = createTableCopy()
    copy.replace([], 5)
    const waiting = copy.changesSince(5, 60_000)
    copy.update([row('a', 6)], [], 6)
    expect((await waiting)?.rows).toEqual([row('a', 6)])
  })
})
