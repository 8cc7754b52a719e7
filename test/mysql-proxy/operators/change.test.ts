import { describe, it } from 'node:test'
import { expect } from 'earl'
import { groupSchema } from '../../../src/core/config/index.ts'
import { findKind } from '../../../src/mysql-proxy/routing/request-checks.ts'
import { changeValue } from '../../../src/mysql-proxy/operators/change.ts'

const GROUP = groupSchema.parse({
  upstreams: [{ name: 'a', address: '127.0.0.1', port: 3306, failureDomain: 'd' }],
  account: { user: 'u', password: 'p' },
  services: { grid: { passwordHash: '0'.repeat(40), kinds: { read: { access: 'read' } } } }
})

// Guards against names that every object inherits: such a path changed Object.prototype of the whole process.
describe('a name that objects inherit', () => {
  for (const path of [
    ['constructor', 'prototype', 'valueOf'], ['__proto__', 'valueOf'], ['limits', 'constructor'], ['limits', '__proto__'],
    ['services', 'toString', 'kinds']
  ]) {
    it(`is no declared value: ${path.join('.')}`, () => {
      const inherited = Object.prototype.valueOf
      expect(() => changeValue(GROUP, path, 1)).toThrow('there is no declared value')
      expect(() => changeValue(GROUP, path, undefined)).toThrow('there is no declared value')
      expect(Object.prototype.valueOf).toEqual(inherited)
    })
  }

  it('is no kind of a service', () => {
    for (const kind of ['constructor', '__proto__', 'valueOf']) {
      expect(() => findKind(GROUP, { service: 'grid', kind })).toThrow('no request kind')
      expect(() => findKind(GROUP, { service: kind, kind: 'read' })).toThrow('no request kind')
    }
  })
})
