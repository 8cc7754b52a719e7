import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { readHint } from '../../../src/mysql-proxy/callers/hint.ts'
import { classifyStatement, readSetting } from '../../../src/mysql-proxy/callers/statement-class.ts'

describe('readHint', () => {
  it('parses a comment at the start or the end of a statement', () => {
    const expected = { kind: 'grid', session: 'abc' }
    expect(readHint("/*worksward_kind='grid',worksward_session='abc'*/ SELECT 1")).toEqual(expected)
    expect(readHint("SELECT 1 /*traceparent='00-1',worksward_kind='grid',worksward_session='abc'*/")).toEqual(expected)
  })

  it('ignores a comment inside a string literal', () => {
    expect(readHint("INSERT INTO t VALUES ('/*worksward_kind=''grid''*/')")).toEqual({})
  })

  it('throws with the reason when a hint is malformed', () => {
    expect(() => readHint('SELECT 1 /*worksward_kind=grid*/')).toThrow("not of the form name='value'")
    expect(() => readHint("SELECT 1 /*worksward_colour='red'*/")).toThrow('unknown name worksward_colour')
    expect(() => readHint("SELECT 1 /*worksward_kind='%zz'*/")).toThrow('not URL-encoded')
  })

  it('decodes any URL-encoded value', () => {
    fc.assert(fc.property(fc.string({ minLength: 1 }), (key) => {
      const encoded = encodeURIComponent(key).replaceAll("'", '%27').replaceAll('*', '%2A')
      expect(readHint(`SELECT 1 /*worksward_key='${encoded}'*/`)).toEqual({ key })
    }), { seed: 1 })
  })
})

describe('classifyStatement', () => {
  it('classifies by the first keyword after comments', () => {
    expect(classifyStatement("/*worksward_kind='x'*/ begin")).toEqual('begin')
    expect(classifyStatement('-- note\nCOMMIT')).toEqual('commit')
    expect(classifyStatement('ROLLBACK TO SAVEPOINT a')).toEqual('plain')
    expect(classifyStatement('LOCK TABLES t WRITE')).toEqual('refused')
    expect(classifyStatement('SELECT @@worksward_session')).toEqual('session-token')
  })

  it('ignores harmless settings and refuses those that would change a shared connection', () => {
    expect(readSetting('SET NAMES utf8mb4').type).toEqual('ignored')
    expect(readSetting("SET @worksward_kind='grid'")).toEqual({ type: 'hint', name: 'kind', value: 'grid' })
    expect(readSetting('SET autocommit=0').type).toEqual('refused')
  })
})
