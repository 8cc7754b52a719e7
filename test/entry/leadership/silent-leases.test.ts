import { describe, it } from 'node:test'
import { expect } from 'earl'
import { silentLeasesExpireAt } from '../../../src/entry/leadership/silent-leases.ts'

describe('silentLeasesExpireAt', () => {
  it('counts from the last stop while at most a quarter of the hosts are silent', () => {
    expect(silentLeasesExpireAt({ hosts: 8, silent: 2, lastStoppedAt: 1500 }, 1000)).toEqual(1500 + 3600)
  })

  it('counts from the closing with the maximum age of a confirmation while more are silent', () => {
    expect(silentLeasesExpireAt({ hosts: 8, silent: 3, lastStoppedAt: 1500 }, 1000)).toEqual(1000 + 15_600)
  })
})
