import { describe, it } from 'node:test'
import { expect } from 'earl'
import { writeTimeoutMs } from '../../../src/entry/registry/registry-store.ts'

describe('timeout of a registry write', () => {
  it('grows with the duration of the last read, up to a maximum', () => {
    expect([0, 20, 1000].map(writeTimeoutMs)).toEqual([300, 400, 1500])
  })
})
