import { describe, it } from 'node:test'
import { expect } from 'earl'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { createAppliedDeclarations } from '../../../src/mysql-proxy/configuration/applied-declarations.ts'
import type { VersionedGroup } from '../../../src/mysql-proxy/configuration/types.ts'

function removedGroup (name: string, version: number, revision: number): VersionedGroup {
  return { name, version, revision, group: null, change: { changeId: `${name}-${version}`, operator: '', at: '', reason: '' } }
}

describe('createAppliedDeclarations', () => {
  it('is ready after changes are applied', () => {
    const declarations = createAppliedDeclarations(silentLogger)
    expect([declarations.ready, declarations.revision]).toEqual([false, 0])
    declarations.apply({ revision: 1, groups: [] })
    expect([declarations.ready, declarations.revision]).toEqual([true, 1])
  })

  it('keeps the newest version of a group when versions arrive out of order', () => {
    const declarations = createAppliedDeclarations(silentLogger)
    const applied: number[] = []
    declarations.onChange(({ version }) => applied.push(version))
    for (const version of [2, 1, 2, 3]) {
      declarations.apply({ revision: version + 4, groups: [removedGroup('a', version, version + 4)] })
    }
    expect(applied).toEqual([2, 3])
    expect([declarations.revision, declarations.versions().length]).toEqual([7, 1])
  })

  it('returns the groups that changed after a revision', () => {
    const declarations = createAppliedDeclarations(silentLogger)
    declarations.apply({ revision: 2, groups: [removedGroup('a', 1, 1), removedGroup('b', 1, 2)] })
    expect(declarations.changesSince(1)).toEqual({ revision: 2, groups: [removedGroup('b', 1, 2)] })
    expect(declarations.changesSince(0).groups.length).toEqual(2)
  })
})
