import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createUpstreamDirectory } from '../../../src/entry/directory/upstream-directory.ts'
import type { DirectoryEntry } from '../../../src/entry/ports/index.ts'

const ENTRY: DirectoryEntry = {
  upstream: 'u',
  group: 'g',
  endpoint: { address: '127.0.0.1', port: 1 },
  failureDomain: 'x',
  slots: 2,
  draining: false,
  claimsPrimary: false,
  bornAt: 1000
}

describe('the directory of upstreams', () => {
  it('tells that one has started again under its name, once', () => {
    const directory = createUpstreamDirectory()
    directory.replace([ENTRY])
    const changes = directory.update([{ ...ENTRY, bornAt: 2000 }], [])
    expect(changes.map(({ change }) => change)).toEqual(['reborn'])
    expect(directory.update([{ ...ENTRY, bornAt: 2000 }], [])).toEqual([])
  })

  it('counts the time for which it has been leaving from anew', () => {
    const directory = createUpstreamDirectory()
    directory.replace([{ ...ENTRY, draining: true }])
    directory.get('u')!.drainingSince = -5000
    directory.update([{ ...ENTRY, draining: true, bornAt: 2000 }], [])
    expect(directory.get('u')!.drainingSince! > -5000).toEqual(true)
  })

  it('takes no row of an earlier life', () => {
    const directory = createUpstreamDirectory()
    directory.replace([{ ...ENTRY, bornAt: 2000 }])
    expect(directory.update([{ ...ENTRY, claimsPrimary: true }], [])).toEqual([])
    expect([directory.get('u')!.bornAt, directory.get('u')!.claimsPrimary]).toEqual([2000, false])
  })
})
