import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createTableConfirmations, type ConfirmedTable } from '../../../src/entry/registry/table-confirmations.ts'

describe('confirmations of followed tables', () => {
  const createTable = (confirm: () => Promise<void>): ConfirmedTable => ({
    describe: () => undefined, hear: () => {}, confirmedAt: () => 0, confirm
  })

  it('go on for a table while the request for another one hangs', async () => {
    const tables = createTableConfirmations()
    let confirmed = 0
    tables.add('hanging', createTable(async () => await new Promise<never>(() => {})))
    tables.add('answered', createTable(async () => { confirmed++ }))
    for (let turn = 0; turn < 3; turn++) {
      void tables.confirm()
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    expect(confirmed).toEqual(3)
  })

  it('send one request at a time for each table', async () => {
    const tables = createTableConfirmations()
    let requests = 0
    tables.add('hanging', createTable(async () => {
      requests++
      await new Promise<never>(() => {})
    }))
    void tables.confirm()
    void tables.confirm()
    expect(requests).toEqual(1)
  })
})
