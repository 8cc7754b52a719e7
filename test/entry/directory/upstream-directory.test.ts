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

describe('upstream directory', () => {
  it('reports once that an upstream was restarted under the same name', () => {
    const directory = createUpstreamDirectory()
    directory.replace([ENTRY])
    const changes = directory.update([{ ...ENTRY, bornAt: 2000 }], [])
    expect(changes.map(({ change }) => change)).toEqual(['reborn'])
    expect(directory.update([{ ...ENTRY, bornAt: 2000 }], [])).toEqual([])
  })

  it('resets drainingSince after a restart', () => {
    const directory = createUpstreamDirectory()
    directory.replace([{ ...ENTRY, draining: true }])
    directory.get('u')!.drainingSince = -5000
    directory.update([{ ...ENTRY, draining: true, bornAt: 2000 }], [])
    expect(directory.get('u')!.drainingSince! > -5000).toEqual(true)
  })

  it('counts the draining of an upstream from the last confirmation that it did not drain', () => {
    const directory = createUpstreamDirectory()
    directory.replace([ENTRY], 10)
    directory.update([{ ...ENTRY, draining: true }], [], 20)
    directory.update([{ ...ENTRY, draining: true }], [], 30)
    expect(directory.get('u')!.drainingSince).toEqual(20)
  })

  it('ignores rows written before the last restart', () => {
    const directory = createUpstreamDirectory()
    directory.replace([{ ...ENTRY, bornAt: 2000 }])
    expect(directory.update([{ ...ENTRY, claimsPrimary: true }], [])).toEqual([])
    expect([directory.get('u')!.bornAt, directory.get('u')!.claimsPrimary]).toEqual([2000, false])
  })
})
