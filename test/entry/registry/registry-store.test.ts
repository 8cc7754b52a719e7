import { describe, it } from 'node:test'
import { expect } from 'earl'
import { writeTimeoutMs } from '../../../src/entry/registry/registry-store.ts'

describe('the timeout of a write of the registry', () => {
  it('grows with the time that the last read took, up to a bound', () => {
    expect([0, 20, 1000].map(writeTimeoutMs)).toEqual([300, 400, 1500])
  })
})
