import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Kind } from '../../../src/core/config/index.ts'
import { chooseKey } from '../../../src/mysql-proxy/callers/plain-statement.ts'

const kind = (access: Kind['access'], repeatable: boolean): Kind => ({ access, repeatable } as Kind)

describe('chooseKey', () => {
  it('gives reads no key', () => {
    expect(chooseKey(kind('read', false), { key: 'own' })).toEqual(undefined)
  })

  it('keeps the key of the caller', () => {
    expect(chooseKey(kind('write', true), { key: 'own' })).toEqual('own')
    expect(chooseKey(undefined, { key: 'own' })).toEqual('own')
  })

  it('creates one for a write that is not declared repeatable', () => {
    expect(chooseKey(kind('write', true), {})).toEqual(undefined)
    expect(typeof chooseKey(kind('write', false), {})).toEqual('string')
    expect(typeof chooseKey(undefined, {})).toEqual('string')
  })
})
