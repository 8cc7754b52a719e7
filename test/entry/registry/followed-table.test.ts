import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createFollowedTable } from '../../../src/entry/registry/followed-table.ts'

const row = (key: string, version: number) => ({ key, value: `${key}${version}`, version })

describe('a followed table', () => {
  const createTable = () => {
    const seen: string[][] = []
    const table = createFollowedTable({
      table: 't',
      notifications: { notify: () => {} },
      onRows: (rows) => {
        seen.push(rows.map(({ value }) => value))
        return true
      },
      onChanges: (changed) => { seen.push(changed.map(({ value }) => value)) },
      onTableChanged: () => {}
    })
    table.replace([row('a', 1)], 5)
    table.update([row('a', 7)], [], 8)
    return { table, seen }
  }

  it('ignores rows that were read before its copy', () => {
    const { table, seen } = createTable()
    table.replace([row('a', 1)], 6)
    expect([table.version, seen]).toEqual([8, [['a1'], ['a7']]])
  })

  it('ignores changes that were read before its copy', () => {
    const { table, seen } = createTable()
    table.update([row('a', 6)], [], 6)
    expect([table.version, seen]).toEqual([8, [['a1'], ['a7']]])
  })

  it('keeps a full read required while it takes changes beside it', () => {
    const { table } = createTable()
    table.invalidate()
    table.amend([row('a', 9)], [], 9)
    expect([table.version, table.copy.version]).toEqual([undefined, 9])
  })
})
