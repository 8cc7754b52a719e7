/** Formats of session tokens, request keys, positions and hints, which callers and ledgers store. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { readHint, readHintValues } from '../../src/mysql-proxy/callers/hint.ts'
import { classifyStatement, readSetting } from '../../src/mysql-proxy/callers/statement-class.ts'
import { createRequestKey, fingerprintOf, keyCreatedAt, MAXIMUM_KEY_LENGTH } from '../../src/mysql-proxy/ledger/request-key.ts'
import { createSessionTokens, isSessionToken, type SessionTokenContent } from '../../src/mysql-proxy/sessions/session-token.ts'
import { formatPosition, joinFloors, NOTHING_SEEN, sessionFloorSchema } from '../../src/positions/position.ts'
import { expectGolden, outcomeOf, readGolden } from './mysql-golden.ts'

const FILE = 'session-forms'
const SECRET = 'frozen-peer-key-0123456789'
const FLOOR = { term: 7, position: 70_000, seenOn: [{ upstream: 'member-a-2', incarnation: 'f00d' }] }
const CONTENTS: Record<string, SessionTokenContent> = {
  empty: { id: 'session-1', service: 'app', floors: {} },
  'one group': { id: 'session-1', service: 'app', floors: { 'member-a': { term: 2, position: 41, seenOn: [] } } },
  'seen on upstreams': {
    id: '0190a1b2-c3d4-7abc-8def-0123456789ab',
    service: 'app',
    floors: {
      'member-a': FLOOR,
      'member-b': { term: 0, position: 0, seenOn: [{ upstream: 'b-1', incarnation: '1' }, { upstream: 'b-2', incarnation: '' }] }
    }
  },
  'large numbers': { id: 'š', service: 'app', floors: { g: { term: 4_294_967_296, position: Number.MAX_SAFE_INTEGER, seenOn: [] } } }
}

describe('session tokens', () => {
  const tokens = createSessionTokens(SECRET)
  for (const [name, content] of Object.entries(CONTENTS)) {
    it(`encode to the same text: ${name}`, () => {
      expectGolden(FILE, `token ${name}`, tokens.seal(content))
    })

    it(`from earlier releases are decoded: ${name}`, () => {
      const token = readGolden(FILE)[`token ${name}`] as string
      expect(isSessionToken(token)).toEqual(true)
      expect(tokens.open(token, 'app')).toEqual(content)
    })
  }

  it('without upstreams are decoded', () => {
    expect(sessionFloorSchema.parse({ term: 1, position: 2 })).toEqual({ term: 1, position: 2, seenOn: [] })
  })

  it('are rejected with the same errors', () => {
    const token = tokens.seal(CONTENTS['empty']!)
    expectGolden(FILE, 'token refusals', [
      outcomeOf(() => tokens.open(token, 'other')),
      outcomeOf(() => tokens.open(token.slice(0, -2), 'app')),
      outcomeOf(() => createSessionTokens('another-secret-0123').open(token, 'app')),
      outcomeOf(() => tokens.open('ws1.', 'app')),
      outcomeOf(() => tokens.open('ws1.' + 'A'.repeat(8189), 'app')),
      outcomeOf(() => tokens.open('ws1.' + 'A'.repeat(8188), 'app'))
    ])
    expect(isSessionToken('session-1')).toEqual(false)
  })
})

describe('request keys', () => {
  it('contain their time as UUID version 7', () => {
    const before = Date.now()
    const key = createRequestKey()
    expect(key).toMatchRegex(/^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/)
    expect(Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16) >= before).toEqual(true)
  })

  it('yield the same time', () => {
    const keys = [
      '0190a1b2-c3d4-7abc-8def-0123456789ab', '0190A1B2-C3D4-7ABC-BDEF-0123456789AB',
      '0190a1b2-c3d4-4abc-8def-0123456789ab', '0190a1b2-c3d4-7abc-cdef-0123456789ab', 'order-17', ''
    ]
    expectGolden(FILE, 'key times', keys.map((key) => ({ key, at: keyCreatedAt(key) })))
    expect(MAXIMUM_KEY_LENGTH).toEqual(200)
  })

  it('have the same fingerprints', () => {
    const sql = 'INSERT INTO records (session, amount) VALUES (?, ?)'
    expectGolden(FILE, 'fingerprints', {
      none: fingerprintOf([]),
      plain: fingerprintOf([{ sql }]),
      'comments at both ends': fingerprintOf([{ sql: ` /* a */ ${sql} /*worksward_key='k'*/ ` }]),
      'comment within': fingerprintOf([{ sql: 'SELECT /* a */ 1' }]),
      values: fingerprintOf([{ sql, values: ['a', 1] }]),
      'all types': fingerprintOf([{ sql, values: ['1', 1, 1n, null, Buffer.from('1'), 1.5, 'ž'] as never }]),
      two: fingerprintOf([{ sql }, { sql: 'DELETE FROM records', values: [] }])
    })
  })
})

describe('positions', () => {
  it('have the same text and merge the same way', () => {
    const floor = { term: 7, position: 90_000, seenOn: [{ upstream: 'member-a-2', incarnation: 'beef' }, ...FLOOR.seenOn] }
    expectGolden(FILE, 'positions', {
      texts: [formatPosition({ term: 3, position: 12_345 }), formatPosition({ term: 0, position: 0 }),
        formatPosition(undefined)],
      nothing: NOTHING_SEEN,
      joined: joinFloors(FLOOR, floor)
    })
  })
})

describe('hints', () => {
  const statements = [
    'SELECT 1',
    "SELECT 1 /*worksward_kind='grid'*/",
    "/*worksward_kind='grid',worksward_session='ws1.a',worksward_key='k-1'*/ SELECT 1",
    "SELECT 1 /* traceparent='00-1',worksward_key='a%2Cb%27c' , worksward_kind = 'x' */", "SELECT 'worksward_kind'",
    "SELECT 1 /*worksward_kind='it\\'s'*/", "SELECT 1 /*worksward_mood='x'*/", 'SELECT 1 /*worksward_kind=grid*/',
    "SELECT 1 /*worksward_kind='%'*/", "SELECT /*worksward_kind='a'*/ 1 /*worksward_key='b'*/", "SELECT 1 -- worksward_kind='grid'",
    "SELECT 1 # worksward_kind='grid'", "SELECT 1 /*worksward_kind=''*/"
  ]
  it('are parsed to the same values', () => {
    expectGolden(FILE, 'hints', statements.map((sql) => ({ sql, hint: outcomeOf(() => readHint(sql)) })))
  })

  it('are parsed from connection attributes to the same values', () => {
    expectGolden(FILE, 'hints of attributes', [
      readHintValues({ worksward_kind: 'grid', worksward_session: 's', _client_name: 'c' }),
      outcomeOf(() => readHintValues({ worksward_other: 'grid' }))
    ])
  })

  it('are set to the same values', () => {
    const settings = [
      "SET @worksward_kind = 'grid'", "set @worksward_session='it''s';", 'SET @worksward_key = NULL', 'SET NAMES utf8mb4',
      "SET NAMES 'utf8' COLLATE utf8_general_ci", 'SET NAMES latin1', 'SET CHARACTER SET utf8', 'SET autocommit=1',
      'SET SESSION autocommit = ON', 'SET @@session.autocommit=1', 'SET autocommit=0', 'SET sql_mode = 1', "SET @worksward_kind = 'a', @b = 1"
    ]
    expectGolden(FILE, 'settings', settings.map((sql) => ({ sql, setting: readSetting(sql) })))
  })

  it('do not change the class of a statement', () => {
    const classed = [
      'BEGIN', 'start transaction', 'COMMIT', 'ROLLBACK', 'ROLLBACK TO SAVEPOINT a', 'SAVEPOINT a', 'SET a = 1', 'USE `b`',
      'SELECT @@worksward_session', 'SELECT 1', 'XA START 1', 'LOCK TABLES a READ', 'UNLOCK TABLES', 'PREPARE a FROM 1', 'EXECUTE a',
      'DEALLOCATE PREPARE a', 'HANDLER a OPEN', 'LOAD DATA INFILE a', 'CREATE TABLE a (b INT)', 'ALTER TABLE a', 'DROP TABLE a',
      'TRUNCATE a', 'RENAME TABLE a TO b', '/* a */ -- b\n # c\n commit', 'INSERT INTO a VALUES (1)', 'CALL a()', '', '(SELECT 1)'
    ]
    expectGolden(FILE, 'classes', classed.map((sql) => ({ sql, class: classifyStatement(sql) })))
  })
})
