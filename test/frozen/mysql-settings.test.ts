/** Formats of settings and declarations, and names of errors and commands. */
import { readdirSync, readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { parse } from 'yaml'
import * as z from 'zod'
import {
  declarationsSchema, groupSchema, keeperSettingsSchema, kindSchema, proxySettingsSchema, standinSettingsSchema
} from '../../src/core/config/index.ts'
import { OPERATOR_RIGHTS } from '../../src/core/config/settings.ts'
import { loadFile, parseContent } from '../../src/core/config/load-file.ts'
import { catalogue, RequestError, toRequestError, WorkswardError, type ErrorName } from '../../src/core/errors/index.ts'
import { LOG_LEVELS } from '../../src/core/logger/index.ts'
import { COMMAND_WORDS, parseCommand, WORDS_AFTER } from '../../src/mysql-proxy/language/parser.ts'
import { COMPARISONS, TABLE_NAMES } from '../../src/mysql-proxy/language/types.ts'
import { authenticateOperator, hashOperatorKey } from '../../src/mysql-proxy/operators/authentication.ts'
import { buildChanges, changeValue, listDifferences } from '../../src/mysql-proxy/operators/change.ts'
import { expectGolden, outcomeOf } from './mysql-golden.ts'

const FILE = 'settings'
const EXAMPLES = new URL('../../examples/', import.meta.url)
const SCHEMAS = {
  proxy: proxySettingsSchema,
  keeper: keeperSettingsSchema,
  standin: standinSettingsSchema,
  declarations: declarationsSchema
}
const MEMBER = {
  host: { name: 'a', address: '127.0.0.1', failureDomain: 'd' },
  platform: { tableEndpoint: 'http://t', objectEndpoint: 'http://o', accessKey: 'k', secretKey: 's' },
  peers: { key: '0123456789abcdef' }
}
const GROUP = {
  upstreams: [{ name: 'u', address: '127.0.0.1', port: 1, failureDomain: 'd' }], account: { user: 'w', password: 'p' }
}
const SERVICE = { passwordHash: 'ab'.repeat(20), kinds: { grid: { access: 'read' } } }
const MINIMAL = {
  proxy: { ...MEMBER, operators: [{ name: 'o', keyHash: 'ab'.repeat(32) }] },
  keeper: MEMBER,
  standin: { groups: { g: { account: GROUP.account, upstreams: [{ name: 'u', port: 1 }] } } },
  declarations: { groups: { g: { ...GROUP, services: { app: SERVICE } } } }
}
type SchemaName = keyof typeof SCHEMAS

/** Schema of each example file. */
function schemaOf (file: string): SchemaName | undefined {
  if (file === 'entry.yaml') {
    return undefined
  }
  return (['proxy', 'keeper', 'standin'] as const).find((name) => file.includes(name)) ?? 'declarations'
}

describe('settings', () => {
  for (const name of Object.keys(SCHEMAS) as SchemaName[]) {
    it(`have the same defaults: ${name}`, () => {
      expectGolden(FILE, `defaults of ${name}`, SCHEMAS[name].parse(MINIMAL[name]))
    })

    it(`have the same names and bounds: ${name}`, () => {
      expectGolden(FILE, `names of ${name}`, z.toJSONSchema(SCHEMAS[name], { io: 'input' }))
    })
  }

  for (const file of readdirSync(EXAMPLES).sort()) {
    const name = schemaOf(file)
    if (name !== undefined) {
      it(`of examples are parsed to the same values: ${file}`, () => {
        expectGolden('examples', file, loadFile(new URL(file, EXAMPLES).pathname, SCHEMAS[name]))
      })
    }
  }

  it('have the same examples', () => {
    expectGolden('examples', 'files', readdirSync(EXAMPLES).sort())
    expect(parse(readFileSync(new URL('association-proxy-1.yaml', EXAMPLES), 'utf8')) !== null).toEqual(true)
  })

  it('that are invalid are rejected with the same messages', () => {
    const refuse = (name: SchemaName, text: string): unknown => outcomeOf(() => parseContent('f.yaml', text, SCHEMAS[name]))
    expectGolden(FILE, 'refusals', [
      refuse('proxy', ''), refuse('keeper', 'host: { name: a }\nlisten: { http: never }\nunknown: 1\n'),
      refuse('proxy', 'peers: { key: short, seeds: [name:1] }'), refuse('proxy', 'a: ['),
      refuse('declarations', 'groups: { Upper: {} }'),
      refuse('declarations', 'groups: { g: { upstreams: [], account: {} } }'),
      refuse('declarations', JSON.stringify({ groups: { g: { ...GROUP, upstreams: [...GROUP.upstreams, ...GROUP.upstreams] } } })),
      refuse('declarations', JSON.stringify({ groups: { g: { ...GROUP, limits: { reservedConnections: 25 } } } }))
    ])
  })

  it('have the same enumerated values', () => {
    expectGolden(FILE, 'words', { OPERATOR_RIGHTS, LOG_LEVELS, kind: kindSchema.parse({ access: 'write' }) })
  })
})

/** Arguments of each error. */
const DETAILS: Partial<Record<ErrorName, unknown>> = {
  InvalidSettings: { mistakes: [{ file: 'f', path: 'a.b', line: 3, reason: 'r' }, { file: 'f', path: '', reason: 'r' }] },
  UnknownKind: { kind: 'k', service: 's', known: [] },
  NoMemory: { what: 'the statement', bytes: 11, use: 'names', heldBytes: 12, maximumBytes: 13 },
  TooManyNames: { what: 'the statement', maximum: 10 },
  LimitReached: { organisation: 'o', limit: { perSecond: 5, burst: 6 }, version: 7, keeper: 'h', retryAfterMs: 8 }
}
const ANY_DETAILS = {
  file: 'f',
  reason: 'busy',
  kind: 'k',
  service: 's',
  known: ['a', 'b'],
  group: 'g',
  user: 'u',
  bytes: 11,
  limit: 10,
  rows: 12,
  retryAfterMs: 5,
  deadlineMs: 100,
  stage: 'waiting',
  upstream: 'g-1',
  key: 'order-1',
  retentionMs: 1000,
  code: 1062,
  peer: 'p',
  host: 'h',
  winner: 'c',
  version: 3,
  operation: 'op',
  right: 'read'
}

/** Errors that were added after the others were frozen. */
const LATER_ERRORS: ErrorName[] = ['NoMemory', 'TooManyNames']

describe('errors', () => {
  it('have the same names, codes, titles, messages and hints', () => {
    const describeErrors = (names: ErrorName[]): unknown => Object.fromEntries(names.map((name) => {
      const error = new RequestError('may-have-run', name, (DETAILS[name] ?? ANY_DETAILS) as never)
      const { mysqlCode, title, message, hint, verdict } = error
      return [name, { mysqlCode, title, message, hint, verdict, name: error.name }]
    }))
    const names = Object.keys(catalogue) as ErrorName[]
    expectGolden(FILE, 'errors', describeErrors(names.filter((name) => !LATER_ERRORS.includes(name))))
    expectGolden(FILE, 'errors of memory', describeErrors(LATER_ERRORS))
  })

  it('of unknown type become the same request errors', () => {
    const shown = (thrown: unknown, override = false): unknown => {
      const { entry, verdict, details, mysqlCode } = toRequestError(thrown, 'may-have-run', override)
      return { entry, verdict, details, mysqlCode }
    }
    const known = new RequestError('not-run', 'Stopping', { host: 'h' })
    expectGolden(FILE, 'request errors', [
      shown(new Error('e')), shown('text'), shown(known), shown(known, true), shown(new WorkswardError('UnknownGroup', { group: 'g' }))
    ])
  })
})

const COMMANDS = [
  ...TABLE_NAMES.map((table) => `show ${table}`),
  "SHOW Upstreams WHERE domain != 'seoul-a' and age <= 12.5 AND reachable = true order by upstream desc limit 2",
  'show groups where term >= 3 and term < 9 and primary = member-a-1 and name > -1 order by group',
  'set member-a.limits.queue = 88', "set member-a.upstreams.member-a-1.address = '10.0.0.1' because \"it moved\"",
  'set member-a.duties.promotion = observe', 'set a.services.app.kinds.grid.repeatable = FALSE', 'unset member-a.limits.queue',
  "unset member-a.limits.queue because 'enough'", 'drain upstream member-a-1', 'restore upstream member-a-1', 'drain proxy proxy-1',
  'restore proxy proxy-1', 'promote member-a', 'promote member-a to member-a-2', 'explain member-a app', 'explain member-a app grid',
  'watch show sessions where statements > 3 limit 5', 'set show.limit = by',
  '', 'show', 'show upstraems', 'shwo groups', 'drain member-a', 'set a.b', 'set a.b =', 'promote', 'explain a', 'watch groups',
  'show groups limit x', 'show groups order upstream', 'show groups where a ~ 1', 'show groups show', "set a.b = 'open", 'set true.b = 1'
]

describe('operator language', () => {
  it('parses the same commands', () => {
    expectGolden(FILE, 'commands', COMMANDS.map((text) => ({ text, command: outcomeOf(() => parseCommand(text)) })))
  })

  it('has the same keywords', () => {
    expectGolden(FILE, 'command words', { COMMAND_WORDS, TABLE_NAMES, COMPARISONS, WORDS_AFTER })
  })
})

describe('changes of declarations', () => {
  const group = groupSchema.parse({ ...GROUP, services: { app: SERVICE } })
  const change = { changeId: 'c', operator: 'o', at: '2026-01-01T00:00:00Z', reason: '' }
  const inForce = [
    { name: 'a', version: 3, revision: 7, group, change }, { name: 'b', version: 1, revision: 2, group: null, change },
    { name: 'c', version: 1, revision: 5, group, change }
  ]
  const wanted = declarationsSchema.parse({
    groups: { a: { ...GROUP, limits: { queue: 1 }, services: { app: SERVICE, web: SERVICE } }, b: GROUP }
  })

  it('are listed and built identically', () => {
    expectGolden(FILE, 'differences', listDifferences(inForce, wanted))
    expectGolden(FILE, 'changes', buildChanges(inForce, wanted).map(({ name, baseVersion, group: next }) =>
      ({ name, baseVersion, removed: next === null })))
  })

  it('of single values have the same paths', () => {
    const attempt = (path: string[], value?: string | number | boolean): unknown => outcomeOf(() =>
      listDifferences([{ ...inForce[0]!, group }], { groups: { a: changeValue(group, path, value) } }))
    expectGolden(FILE, 'single values', [
      attempt(['limits', 'queue'], 9), attempt(['upstreams', 'u', 'state'], 'draining'), attempt(['duties', 'reads'], 'off'),
      attempt(['limits', 'queeu'], 9), attempt(['limits', 'queue'], 'x'), attempt(['upstreams', 'v', 'state'], 'draining'),
      attempt(['limits', 'queue']), attempt([], 1)
    ])
  })
})

describe('operators', () => {
  it('have the same key hashes and authorization format', () => {
    const operators = [{ name: 'o', keyHash: hashOperatorKey('key'), rights: ['read' as const] }]
    const check = (authorization: string | undefined): unknown => {
      const operator = authenticateOperator(operators, authorization)
      return [operator.name, outcomeOf(() => operator.demand('read')), outcomeOf(() => operator.demand('change'))]
    }
    expectGolden(FILE, 'operators', [hashOperatorKey('key'), check('Bearer key'), check('bearer key'), check('key'), check(undefined)])
  })
})
