import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Kind } from '../../../src/core/config/index.ts'
import { chooseKey } from '../../../src/mysql-proxy/callers/plain-statement.ts'

const kind = (access: Kind['access'], repeatable: boolean): Kind => ({ access, repeatable } as Kind)

describe('chooseKey', () => {
  it('returns no key for a read', () => {
    expect(chooseKey(kind('read', false), { key: 'own' })).toEqual(undefined)
  })

  it('returns the key of the caller for a write', () => {
    expect(chooseKey(kind('write', true), { key: 'own' })).toEqual('own')
    expect(chooseKey(undefined, { key: 'own' })).toEqual('own')
  })

  it('creates a key only for a write that is not declared repeatable', () => {
    expect(chooseKey(kind('write', true), {})).toEqual(undefined)
    expect(typeof chooseKey(kind('write', false), {})).toEqual('string')
    expect(typeof chooseKey(undefined, {})).toEqual('string')
  })
})
