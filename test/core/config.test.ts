import { readdirSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  declarationsSchema, entrySettingsSchema, keeperSettingsSchema, loadFile, parseContent, proxySettingsSchema,
  standinSettingsSchema
} from '../../src/core/config/index.ts'
import { formatFields } from '../../src/core/logger/index.ts'

const SCHEMAS = {
  entry: entrySettingsSchema,
  declarations: declarationsSchema,
  proxy: proxySettingsSchema,
  keeper: keeperSettingsSchema,
  standin: standinSettingsSchema
}

describe('loadFile', () => {
  it('reports the path, line and reason of each mistake', () => {
    const text = 'groups:\n  member-a:\n    upstreams:\n      - name: a\n        address: 10.0.0.1\n        port: 99999\n' +
      '        failureDomain: seoul-a\n    account: { user: w, password: p }\n    limts: {}\n'
    expect(() => parseContent('file.yaml', text, declarationsSchema))
      .toThrow('file.yaml:6: groups.member-a.upstreams.0.port')
    expect(() => parseContent('file.yaml', text, declarationsSchema)).toThrow('"limts"')
  })

  it('rejects limits that leave no connection, and duplicate names of upstreams', () => {
    const upstream = '{ name: a, address: 10.0.0.1, port: 1, failureDomain: x }'
    const text = `groups:\n  g:\n    upstreams: [${upstream}, ${upstream}]\n    account: { user: w, password: p }\n` +
      '    limits: { connections: 10, reservedConnections: 10 }\n'
    expect(() => parseContent('f', text, declarationsSchema)).toThrow("'a' stands twice")
    expect(() => parseContent('f', text, declarationsSchema)).toThrow('leaves no connection')
  })

  it('reports a malformed or missing file', () => {
    expect(() => parseContent('f', 'a: [', declarationsSchema)).toThrow('f: ')
    expect(() => loadFile('/nowhere.yaml', declarationsSchema)).toThrow('no such file')
  })

  it('accepts every example', () => {
    const folder = new URL('../../examples/', import.meta.url)
    const files = readdirSync(folder).filter((file) => file.endsWith('.yaml'))
    expect(files.length > 0).toEqual(true)
    for (const file of files) {
      const kind = (Object.keys(SCHEMAS) as Array<keyof typeof SCHEMAS>).find((name) => file.includes(name))
      loadFile(new URL(file, folder).pathname, SCHEMAS[kind ?? 'declarations'])
    }
  })
})

describe('formatFields', () => {
  it('quotes ambiguous values and omits undefined ones', () => {
    expect(formatFields({ event: 'a.b', reason: 'two words', empty: '', gone: undefined, equals: 'a=b' }))
      .toEqual('event=a.b reason="two words" empty="" equals="a=b"')
  })
})
