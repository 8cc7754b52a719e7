import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  CHANGE_IN_FORCE_MS, FRESH_READ_MS, READ_REPEAT_MS, READS_IN_A_ROW, STALE_AFTER_MS, TIMER_DELAY_MS
} from '../../../src/entry/ports/change-bound.ts'
import { CHANGE_GRACE_MS } from '../../../src/entry/registry/catch-up.ts'
import { readersOf, registrySourcesFor } from '../../../src/entry/registry/readers.ts'
import { POLL_MS } from '../../../src/entry/registry/snapshot-refresh.ts'
import type { KnownHost } from '../../../src/entry/registry/snapshot.ts'
import { RESPONSE_TIMEOUT_MS } from '../../../src/entry/registry/table-answers.ts'

/** Largest factor of a jittered interval. */
const JITTER = 1.25
/** Time in which a change must be in force everywhere, from the size to design for, in milliseconds. */
const REQUIRED_AT_ANY_SIZE_MS = 3000
const SIZES = [9, 71, 195, 2300]

function createHosts (count: number): KnownHost[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `h${index}`, version: 1, address: '10.0.0.1', port: 1, failureDomain: `d${index % 3}`, process: 'p'
  }))
}

describe('the parts of the longest path of a change add up under its bound', () => {
  const silentReadMs = READ_REPEAT_MS + READS_IN_A_ROW * FRESH_READ_MS

  it('for a host that reads the store itself, since it hears of nothing by other ways', () => {
    expect(CHANGE_IN_FORCE_MS <= REQUIRED_AT_ANY_SIZE_MS).toEqual(true)
    expect(STALE_AFTER_MS > 0).toEqual(true)
    expect(STALE_AFTER_MS + TIMER_DELAY_MS + silentReadMs <= CHANGE_IN_FORCE_MS).toEqual(true)
  })

  it('for a host that hears of the change from a reader', () => {
    const untilReaderKnows = JITTER * POLL_MS + TIMER_DELAY_MS + silentReadMs
    expect(untilReaderKnows + CHANGE_GRACE_MS + RESPONSE_TIMEOUT_MS <= CHANGE_IN_FORCE_MS).toEqual(true)
  })

  for (const size of SIZES) {
    it(`with ${size} hosts, of which each is a reader or asks one first`, () => {
      const hosts = createHosts(size)
      const readers = new Set(readersOf(hosts).map(({ name }) => name))
      const deeper = hosts.filter(({ name }) =>
        !readers.has(name) && !readers.has(registrySourcesFor(name, hosts, false)[0]!.name))
      expect(deeper).toEqual([])
    })
  }
})
