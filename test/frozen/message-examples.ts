/** Example messages between entry processes: requests and responses with all and with the fewest fields. */
const POSITION = { term: 3, position: 1207 }
const ROW = { key: 'host/front-1', value: '{"address":"10.1.0.8"}', version: 41 }
const ANSWER = {
  rows: ['a b', ''],
  signature: '7.1f3.c',
  failure: { kind: 'busy', message: 'later' },
  state: 'open',
  position: POSITION
}
const LEAST_ANSWER = { rows: [], state: 'idle' }
const COMMON = { id: 'r1', leftMs: 780, inTimeMs: 180.5, values: [['zone', 'x'], ['mood', '']] }
const LEAST_COMMON = { id: 'r1', leftMs: 780, inTimeMs: 180 }
const DATA = { type: 'data', access: 'read', text: 'READ x' }
const EXECUTE = { type: 'execute', prepared: { access: 'write', shape: 'WRITE ?' }, parameters: '1 2' }
const COMMIT = { type: 'commit', text: 'COMMIT' }
const OPENING = { upstream: 'g-a', organisation: 'red', version: 7, priority: 2, costMs: 12 }
const REPORT = { load: 4, leaving: false }
const REPLY = {
  begun: ANSWER,
  answer: ANSWER,
  lost: { verdict: 'may-have-run', reason: 'no answer' },
  epoch: 5,
  ranMs: 11,
  transaction: 9,
  ...REPORT
}

/** Examples of one message type. */
export interface MessageExamples {
  /** Valid requests. */
  questions: unknown[]
  /** Invalid requests. */
  refused: unknown[]
  answers: unknown[]
}

/** Values that every handler with a schema rejects. */
const NOTHING = [undefined, null, 'text', 1, []]

/** Examples by message type. */
export const MESSAGES: Record<string, MessageExamples> = {
  'home-statement': {
    questions: [
      { ...COMMON, step: DATA, ...OPENING, epoch: 5, after: POSITION, begin: 'plain' },
      { ...COMMON, step: EXECUTE, ...OPENING, epoch: 5, after: POSITION, begin: 'read-only' },
      { ...LEAST_COMMON, step: DATA, ...OPENING, organisation: '' },
      { ...LEAST_COMMON, step: COMMIT, ...OPENING, epoch: undefined, after: undefined }
    ],
    refused: [
      ...NOTHING,
      {},
      { ...LEAST_COMMON, ...OPENING },
      { ...LEAST_COMMON, step: { type: 'other' }, ...OPENING },
      { ...LEAST_COMMON, step: DATA, ...OPENING, version: undefined },
      { ...LEAST_COMMON, step: DATA, ...OPENING, begin: 'other' },
      { ...LEAST_COMMON, step: DATA, ...OPENING, epoch: 1.5 },
      { ...LEAST_COMMON, step: DATA, ...OPENING, after: { term: 1 } },
      { ...LEAST_COMMON, step: DATA, ...OPENING, values: [['one']] }
    ],
    answers: [
      REPLY, { answer: LEAST_ANSWER, epoch: undefined, ranMs: 3, ...REPORT }, REPORT,
      { answer: LEAST_ANSWER, ranMs: 3, ...REPORT, queued: 3, running: 2, waitMs: 45 }
    ]
  },
  'home-step': {
    questions: [
      { ...COMMON, step: EXECUTE, transaction: 9 },
      { ...LEAST_COMMON, step: COMMIT, transaction: 9 }
    ],
    refused: [...NOTHING, {}, { ...LEAST_COMMON, step: DATA }, { ...LEAST_COMMON, step: DATA, transaction: 1.5 }],
    answers: [{ answer: ANSWER, epoch: 5, ranMs: 11, ...REPORT, transaction: 9 },
      { answer: LEAST_ANSWER, epoch: undefined, ranMs: 11, ...REPORT, transaction: undefined }]
  },
  'home-rollback': {
    questions: [{ transaction: 9 }],
    refused: [...NOTHING, {}, { transaction: '9' }, { transaction: 1.5 }],
    answers: [{ load: 0, leaving: true }]
  },
  'home-alive': { questions: [{}, undefined], refused: [], answers: [{}, { ready: false }] },
  'limit-return': {
    questions: [{ organisation: 'red', operations: 2, bucket: 1764812345678 }],
    refused: [
      ...NOTHING, {}, { organisation: 'red', operations: 0, bucket: 1 }, { organisation: 'red', operations: 1 },
      { operations: 1, bucket: 1 }
    ],
    answers: [{}]
  },
  'limit-take': {
    questions: [
      { organisation: 'red', wanted: 3, version: 7 }, { organisation: 'red', wanted: 1, version: -1 },
      { organisation: 'red', wanted: 3, version: 7, byPriority: [{ priority: 1, wanted: 2, maximumWaitMs: 125.5 }] }
    ],
    refused: [
      ...NOTHING, {}, { organisation: 'red', wanted: 0, version: 7 }, { organisation: 'red', wanted: 1.5, version: 7 },
      { organisation: 'red', wanted: 1 }, { organisation: 'red', wanted: 1, version: 7, byPriority: [{ priority: 1 }] },
      { organisation: 'red', wanted: 1, version: 7, byPriority: [{ priority: -1, wanted: 1, maximumWaitMs: 0 }] }
    ],
    answers: [
      { granted: 3, retryAfterMs: 0, version: 7 }, { granted: 0, retryAfterMs: 12.5, version: -1 },
      {
        granted: 2,
        retryAfterMs: 40,
        byPriority: [{ priority: 1, granted: 2, turnsMs: [0, 7], retryAfterMs: 40 }],
        bucket: 1764812345678,
        version: 7
      }
    ]
  },
  'freshness-proofs': {
    questions: [{ group: 'g', ageMs: 120.25 }],
    refused: [...NOTHING, {}, { group: 'g' }, { ageMs: 1 }, { group: 'g', ageMs: '1' }],
    answers: [{ epoch: 5, proofs: [{ position: POSITION, ageMs: 12.5 }] }, { epoch: 0, proofs: [] }]
  },
  reach: {
    questions: [{ upstream: 'g-a' }],
    refused: [...NOTHING, {}, { upstream: 1 }],
    answers: [{ reached: true }, { reached: false }]
  },
  extend: {
    questions: [{ host: 'h1', process: '0c6a1b9e-6f0b-4a53-9c41-02d9b0f6f3aa' }],
    refused: [...NOTHING, {}, { host: 'h1' }, { process: 'p' }],
    answers: [{ granted: true, closed: [{ group: 'g', epoch: 5 }] }, { granted: false, closed: [] }]
  },
  'close-group': {
    questions: [{ group: 'g', epoch: 1 }],
    refused: [...NOTHING, {}, { group: 'g' }, { group: 'g', epoch: 1.5 }, { epoch: 1 }],
    answers: [{}]
  },
  neighbour: { questions: [{}, undefined], refused: [], answers: [{}] },
  'registry-nudge': { questions: [{}, undefined], refused: [], answers: [{}] },
  'registry-snapshot': {
    questions: [{ digest: 'q83v', version: 41, holdMs: 400 }, { digest: 'q83v', version: 41, holdMs: 0 }, {}],
    refused: [undefined, null, 'text', 1, [], { digest: 1 }, { version: '1' }, { holdMs: '1' }],
    answers: [
      { version: 41, digest: 'q83v', isChange: true, rows: [ROW], ageMs: 3.5, isReading: true },
      { version: 41, digest: 'q83v', ageMs: 3.5, isReading: false },
      { version: -1, digest: 'q83v', isChange: false, rows: [], ageMs: Number.MAX_SAFE_INTEGER, isReading: false }
    ]
  },
  'table-changes': {
    questions: [
      { table: 'op', after: 41, anew: true }, { table: 'op', after: undefined }, { table: 'op', anew: true },
      { table: 'servers' }
    ],
    refused: [...NOTHING, {}, { table: 1 }, { table: 'op', after: '1' }, { table: 'op', anew: 1 }],
    answers: [
      { changes: { version: 41, isWhole: true, rows: [ROW], removed: [] } },
      { changes: { version: 41, isWhole: false, rows: [], removed: ['gone'] } },
      { changes: undefined },
      {}
    ]
  },
  'table-news': {
    questions: [{ table: 'op', version: 41, host: 'h1' }],
    refused: [...NOTHING, {}, { table: 'op', version: 41 }, { table: 'op', host: 'h1' }, { version: 1, host: 'h1' }],
    answers: [{}]
  }
}

/** Failures sent instead of a response. */
export const FAILURES: unknown[] = [
  { verdict: 'not-run', entry: 'NoUpstream', details: { group: 'g', reason: 'no right', retryAfterMs: 100 } },
  { verdict: 'may-have-run', entry: 'PeerUnavailable', details: { peer: '10.1.0.8:7440', reason: 'no answer in time' } },
  { verdict: 'ran', entry: 'Internal', details: {} }
]

const NONCE = Buffer.from('000102030405060708090a0b0c0d0e0f', 'hex')
const PROOF = Buffer.alloc(32, 0xa5)

/** Frames of the handshake. */
export const HANDSHAKE: unknown[] = [
  { type: 'challenge', nonce: NONCE },
  { type: 'hello', host: 'front-1', proof: PROOF, nonce: NONCE },
  { type: 'welcome', host: 'front-2', proof: PROOF }
]
