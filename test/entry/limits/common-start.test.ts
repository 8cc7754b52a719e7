import { describe, it } from 'node:test'
import { expect } from 'earl'
import { lastCommonStartMs } from '../../../src/entry/limits/common-start.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'

const rowOf = (name: string, changes: Partial<KnownHost> = {}): KnownHost => ({
  name, version: 9, address: '127.0.0.1', port: 1, failureDomain: 'x', process: name, replaces: 3, startedAtMs: 1000, ...changes
})

describe('a common start', () => {
  it('is that of processes that all replaced a row within a few seconds', () => {
    expect(lastCommonStartMs([rowOf('a'), rowOf('b', { startedAtMs: 1600 })])).toEqual(1600)
  })

  it('is none while an earlier process may run, or hosts may still ask a previous owner', () => {
    const others: Array<Partial<KnownHost>> = [
      { startedAtMs: undefined }, { startedAtMs: -4001 }, { startedAtMs: 6001 }, { replaces: undefined },
      { leaving: true }, { retiredUntilMs: 1 }
    ]
    others.forEach((changes) => expect(lastCommonStartMs([rowOf('a'), rowOf('b', changes)])).toEqual(undefined))
    expect(lastCommonStartMs([])).toEqual(undefined)
  })
})
