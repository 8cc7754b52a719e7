import { describe, it } from 'node:test'
import { expect } from 'earl'
import { completeCommand } from '../../../src/cli/worksward/prompt.ts'
import { parseCommand } from '../../../src/mysql-proxy/language/parser.ts'

describe('parseCommand', () => {
  it('parses a show command with conditions, order and limit', () => {
    expect(parseCommand("show upstreams where role = 'replica' and age > 100 order by age desc limit 3")).toEqual({
      type: 'show',
      table: 'upstreams',
      conditions: [
        { column: 'role', comparison: '=', value: 'replica' },
        { column: 'age', comparison: '>', value: 100 }
      ],
      orderBy: { column: 'age', descending: true },
      limit: 3
    })
  })

  it('parses set and unset, with and without a reason', () => {
    expect(parseCommand('set member-a.limits.queue = 300 because "grid rush"')).toEqual({
      type: 'set', path: ['member-a', 'limits', 'queue'], value: 300, reason: 'grid rush'
    })
    expect(parseCommand('unset member-a.limits.queue')).toEqual({
      type: 'unset', path: ['member-a', 'limits', 'queue'], reason: undefined
    })
  })

  it('parses drain, restore, promote and explain', () => {
    expect(parseCommand('drain upstream member-a-1')).toEqual({ type: 'drain', what: 'upstream', name: 'member-a-1' })
    expect(parseCommand('RESTORE proxy entry-1')).toEqual({ type: 'restore', what: 'proxy', name: 'entry-1' })
    expect(parseCommand('promote member-a to member-a-2'))
      .toEqual({ type: 'promote', group: 'member-a', upstream: 'member-a-2' })
    expect(parseCommand('explain member-a app grid'))
      .toEqual({ type: 'explain', group: 'member-a', service: 'app', kind: 'grid' })
  })

  it('marks the position of an error and suggests the closest word', () => {
    expect(() => parseCommand('shwo groups')).toThrow("did you mean 'show'?")
    expect(() => parseCommand('show upstraems')).toThrow("did you mean 'upstreams'?")
    expect(() => parseCommand('show upstraems')).toThrow('\n  show upstraems\n       ^')
    expect(() => parseCommand('drain upstram a')).toThrow("did you mean 'upstream'?")
    expect(() => parseCommand('show')).toThrow('ends too early')
    expect(() => parseCommand('set a.b = §')).toThrow("'§' cannot stand here")
  })
})

describe('completeCommand', () => {
  it('completes with the words that are valid at the cursor', () => {
    expect(completeCommand('show up')).toEqual([['upstreams '], 'up'])
    expect(completeCommand('dr')).toEqual([['drain '], 'dr'])
  })
})
