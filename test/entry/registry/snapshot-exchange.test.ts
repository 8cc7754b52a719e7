import { describe, it } from 'node:test'
import { expect } from 'earl'
import { mergeSnapshotReply } from '../../../src/entry/registry/snapshot-exchange.ts'
import { createSnapshot } from '../../../src/entry/registry/snapshot.ts'
import type { StoreRow } from '../../../src/entry/ports/index.ts'

const hostRow = (name: string, version: number): StoreRow => ({
  key: `host/${name}`,
  value: JSON.stringify({ address: '10.0.0.1', port: 1, failureDomain: 'x', process: `p${version}` }),
  version
})
const ASKED_AT = 1000
const before = createSnapshot([hostRow('a', 3), hostRow('b', 5)], 7, 500)

describe('a snapshot merged from a peer\'s response', () => {
  it('contains the changed rows, and has the age that the peer reported', () => {
    const now = createSnapshot([hostRow('a', 3), hostRow('aa', 9), hostRow('b', 8)], 9, 900)
    const merged = mergeSnapshotReply(before, {
      version: 9,
      digest: now.digest,
      rows: [hostRow('aa', 9), hostRow('b', 8)],
      isChange: true,
      ageMs: 100,
      isReading: true
    }, ASKED_AT)
    expect({ ...merged, group: 0 }).toEqual({ ...now, askedAt: 900, group: 0 })
  })

  it('is undefined if rows were removed, which changed rows do not show', () => {
    const now = createSnapshot([hostRow('b', 5)], 9, 900)
    const reply = { version: 9, digest: now.digest, rows: [], isChange: true, ageMs: 0, isReading: true }
    expect(mergeSnapshotReply(before, reply, ASKED_AT)).toEqual(undefined)
  })

  it('keeps the previous rows with a new version and age if nothing has changed', () => {
    const reply = { version: 12, digest: before.digest, ageMs: 20, isReading: true }
    const merged = mergeSnapshotReply(before, reply, ASKED_AT)
    expect({ version: merged?.version, askedAt: merged?.askedAt, rows: merged?.rows })
      .toEqual({ version: 12, askedAt: 980, rows: before.rows })
  })

  it('replaces all previous rows if the response contains all rows', () => {
    const reply = { version: 9, digest: 'd', rows: [hostRow('c', 9)], ageMs: 0, isReading: true }
    const merged = mergeSnapshotReply(before, reply, ASKED_AT)
    expect(merged?.hosts.map(({ name }) => name)).toEqual(['c'])
  })
})
