/** Frames between processes: encoding, handshake, and decoding of bytes from earlier releases. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type * as z from 'zod'
import { createCallerTransactions } from '../../src/mysql-proxy/callers/caller-transaction.ts'
import { changesSchema, sinceSchema } from '../../src/mysql-proxy/configuration/types.ts'
import { groupSchema } from '../../src/core/config/index.ts'
import { RequestError } from '../../src/core/errors/index.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { attachFrames, MAXIMUM_FRAME_BYTES, MAXIMUM_HELLO_BYTES } from '../../src/core/wire/frames.ts'
import {
  evidenceSchema, leadershipNoticeSchema, promotionWishSchema
} from '../../src/mysql-proxy/failover/types.ts'
import { createMemberList } from '../../src/mysql-proxy/membership/member-list.ts'
import { heartbeatSchema, MEMBER_STATES, memberSchema, type Heartbeat, type Member } from '../../src/mysql-proxy/membership/types.ts'
import type { Answer } from '../../src/mysql/types.ts'
import { proveKey, sameProof } from '../../src/peers/authentication.ts'
import { createPeerClient } from '../../src/peers/peer-client.ts'
import { listenForPeers } from '../../src/peers/peer-server.ts'
import type { HomeRequests } from '../../src/mysql-proxy/routing/home-requests.ts'
import type { HomeReply, HomeRequest } from '../../src/mysql-proxy/routing/types.ts'
import { expectGolden, outcomeOf, readGolden, toJson } from './mysql-golden.ts'

const FILE = 'frames'
const KEY = 'frozen-peer-key-0123456789'
const NONCE = Buffer.from('000102030405060708090a0b0c0d0e0f', 'hex')

/** Encodes one frame. */
async function encodeFrame (value: unknown): Promise<Buffer> {
  const socket = new PassThrough()
  const chunks: Buffer[] = []
  socket.on('data', (chunk: Buffer) => chunks.push(chunk))
  const frames = attachFrames(socket as unknown as Socket, () => {})
  frames.trust()
  frames.send(value)
  socket.end()
  await once(socket, 'end')
  return Buffer.concat(chunks)
}

/** Decodes frames from bytes that arrive in chunks. */
async function decodeFrames (pieces: Buffer[]): Promise<unknown[]> {
  const socket = new PassThrough()
  const values: unknown[] = []
  attachFrames(socket as unknown as Socket, (value) => values.push(value)).trust()
  pieces.forEach((piece) => socket.write(piece))
  socket.end()
  await once(socket, 'end')
  return values
}

const SELF: Member = {
  host: 'proxy-1',
  role: 'proxy',
  failureDomain: 'seoul-a',
  address: '10.0.0.1',
  port: 7001,
  startedAt: 1_790_000_000_123,
  version: 3,
  state: 'live'
}
const KEEPER: Member = { ...SELF, host: 'keeper-1', role: 'keeper', port: 7011, version: 0, startedAt: 0, state: 'suspect' }
const HEARTBEAT: Heartbeat = { members: [SELF, KEEPER], digest: '0123456789abcdef', revision: 12 }
const EVIDENCE: z.infer<typeof evidenceSchema> = {
  group: 'member-a', upstream: 'member-a-1', term: 4, failureDomain: 'seoul-a', host: 'proxy-1'
}
const LEADERSHIP: z.infer<typeof leadershipNoticeSchema> = { term: 5, primary: 'member-a-2', group: 'member-a' }
const FLOOR = { term: 5, position: 4711, seenOn: [{ upstream: 'member-a-2', incarnation: 'f00d' }] }
const BASE = { group: 'member-a', service: 'app', deadlineMs: 1499.5 }
const VALUES = ['text ž', 7, -1.5, 9_007_199_254_740_993n, true, null, Buffer.from([0, 255])]

const REQUESTS: Record<HomeRequest['type'], HomeRequest> = {
  execute: {
    ...BASE,
    type: 'execute',
    kind: 'grid',
    statement: { sql: 'SELECT ?', values: VALUES },
    floor: FLOOR,
    readIndex: false,
    key: undefined
  },
  begin: { ...BASE, type: 'begin', transactionId: 'proxy-1/17/1' },
  'transaction-execute': {
    ...BASE, type: 'transaction-execute', transactionId: 'proxy-1/17/1', statement: { sql: 'DELETE FROM a' }
  },
  commit: {
    ...BASE,
    type: 'commit',
    transactionId: 'proxy-1/17/1',
    key: '0190a1b2-c3d4-7abc-8def-0123456789ab',
    fingerprint: 'e3b0c44298fc1c149afbf4c8996fb924',
    writes: true
  },
  rollback: { ...BASE, type: 'rollback', transactionId: 'proxy-1/17/1' },
  settle: { ...BASE, type: 'settle', key: 'order-17', fingerprint: 'e3b0c44298fc1c149afbf4c8996fb924' },
  explain: { ...BASE, type: 'explain', kind: undefined, floor: { term: 0, position: 0, seenOn: [] } }
}

const ROWS: Answer = {
  type: 'rows',
  columns: [{ name: 'id', type: 253, flags: 0, characterSet: 45, columnLength: 1024, decimals: 0 }],
  rows: [[Buffer.from('17')], [null], [Buffer.alloc(0)]]
}
const REPLIES: Record<string, HomeReply> = {
  rows: { answer: ROWS, floor: FLOOR, upstream: 'member-a-2', fromReplica: true },
  done: {
    answer: { type: 'done', affectedRows: 2, insertId: 91 },
    floor: { term: 5, position: 4712, seenOn: [] },
    upstream: 'member-a-1',
    fromReplica: false,
    replayed: true
  },
  bare: { answer: { type: 'done', affectedRows: 0, insertId: 0 } }
}
const GROUP = groupSchema.parse({
  upstreams: [{ name: 'member-a-1', address: '10.0.1.1', port: 3306, failureDomain: 'seoul-a' }],
  account: { user: 'worksward', password: 'secret' },
  services: { app: { passwordHash: 'ab'.repeat(20), kinds: { grid: { access: 'read' } } } }
})
const CHANGES = {
  revision: 12,
  groups: [
    {
      name: 'member-a',
      version: 2,
      revision: 12,
      group: GROUP,
      change: { changeId: 'c-12', operator: 'o', at: '2026-01-01T00:00:00Z', reason: 'more slots' }
    },
    {
      name: 'member-b',
      version: 3,
      revision: 9,
      group: null,
      change: { changeId: 'c-9', operator: 'o', at: '2026-01-01T00:00:00Z', reason: '' }
    }
  ]
}

let id = 0
const request = (type: string, body: unknown): unknown => ({ id: ++id, type, body })
const reply = (body: unknown): unknown => ({ body, id: 300 })
const failure = (verdict: string, entry: string, details: unknown): unknown =>
  ({ failure: { verdict, entry, details }, id: 70_000 })

/** One example of each frame that proxies and keepers send. */
const FRAMES: Record<string, unknown> = {
  challenge: { type: 'challenge', nonce: NONCE },
  hello: { type: 'hello', host: 'proxy-1', proof: proveKey(KEY, 'client', NONCE, 'proxy-1'), nonce: NONCE },
  welcome: { type: 'welcome', host: 'proxy-2', proof: proveKey(KEY, 'server', NONCE, 'proxy-2') },
  heartbeat: request('heartbeat', HEARTBEAT),
  'heartbeat reply': reply(HEARTBEAT),
  members: request('members', [SELF, KEEPER]),
  'members reply': reply([SELF, { ...KEEPER, state: 'gone' }]),
  'try-member': request('try-member', KEEPER),
  'try-member reply': reply(false),
  evidence: request('evidence', EVIDENCE),
  leadership: request('leadership', LEADERSHIP),
  'true reply': reply(true),
  promote: request('promote', { group: 'member-a', upstream: 'member-a-2' }),
  'promote without upstream': request('promote', { group: 'member-a', upstream: undefined }),
  'promote reply': reply('member-a-2 leads term 5'),
  'configuration-since': request('configuration-since', { revision: 9 }),
  'configuration-since reply': reply(CHANGES),
  'configuration-revision': request('configuration-revision', {}),
  'configuration-revision reply': reply(12),
  'set-work': request('set-work', { type: 'drain' }),
  ...Object.fromEntries(Object.entries(REQUESTS).map(([type, body]) => [`home ${type}`, request('home', body)])),
  ...Object.fromEntries(Object.entries(REPLIES).map(([name, body]) => [`home reply ${name}`, reply(body)])),
  'failure overloaded': failure('not-run', 'Overloaded', { group: 'member-a', reason: 'full', retryAfterMs: 5 }),
  'failure statement': failure('not-run', 'StatementFailed', { code: 1062, reason: 'Duplicate entry' }),
  'failure lost': failure('may-have-run', 'NotAcknowledged', { group: 'member-a', reason: 'too late' }),
  'failure too large': failure('ran', 'AnswerTooLarge', { rows: 10_001, limit: 10_000 }),
  'undefined reply': reply(undefined),
  'abbreviated names': Object.fromEntries([
    'id', 'type', 'body', 'failure', 'verdict', 'entry', 'details', 'leftMs', 'inTimeMs', 'values', 'step', 'upstream',
    'priority', 'epoch', 'after', 'begin', 'transaction', 'access', 'text', 'prepared', 'shape', 'parameters', 'begun',
    'answer', 'lost', 'reason', 'load', 'leaving', 'rows', 'signature', 'kind', 'message', 'state', 'position', 'term',
    'costMs', 'ranMs', 'version', 'digest', 'ageMs', 'group', 'proofs', 'incarnation', 'hello', 'service', 'floor'
  ].map((name, index) => [name, index])),
  'kinds of values': [
    0, 23, 24, 255, 256, 65_535, 65_536, 4_294_967_296, -1, -25, 1.5, 0.1, NaN, true, null, undefined, '', 'ž', [],
    {}, Buffer.alloc(0), new Date(1_790_000_000_123), 9_007_199_254_740_993n, { undefined }
  ]
}

describe('frames', () => {
  for (const [name, value] of Object.entries(FRAMES)) {
    it(`encode to the same bytes: ${name}`, async () => {
      expectGolden(FILE, name, (await encodeFrame(value)).toString('hex'))
    })

    it(`from earlier releases are decoded: ${name}`, async () => {
      const bytes = Buffer.from(readGolden(FILE)[name] as string, 'hex')
      const [decoded] = await decodeFrames([bytes])
      expect(JSON.stringify(toJson(decoded))).toEqual(JSON.stringify(toJson(value)))
      const rest = Buffer.concat([bytes.subarray(9), bytes])
      const pieces = await decodeFrames([bytes.subarray(0, 3), bytes.subarray(3, 9), rest])
      expect(pieces.length).toEqual(2)
    })
  }

  it('have the same size limits', () => {
    expect([MAXIMUM_HELLO_BYTES, MAXIMUM_FRAME_BYTES]).toEqual([1024, 67_108_864])
  })
})

describe('frame bodies', () => {
  it('are parsed to the same values', () => {
    const extra = { later: 1 }
    expectGolden(FILE, 'parsed bodies', {
      heartbeat: heartbeatSchema.parse({ ...HEARTBEAT, ...extra }),
      member: memberSchema.parse({ ...KEEPER, ...extra }),
      evidence: evidenceSchema.parse({ ...EVIDENCE, ...extra }),
      leadership: leadershipNoticeSchema.parse({ ...LEADERSHIP, ...extra }),
      promotion: promotionWishSchema.parse({ group: 'member-a', ...extra }),
      since: sinceSchema.parse({ revision: 1, ...extra }),
      changes: changesSchema.parse(CHANGES),
      states: MEMBER_STATES,
      refused: [
        outcomeOf(() => memberSchema.parse({ ...SELF, state: 'other' })),
        outcomeOf(() => evidenceSchema.parse({ ...EVIDENCE, term: 1.5 }))
      ]
    })
  })

  it('carry the same member digest in any order of members', () => {
    const list = createMemberList()
    const reversed = createMemberList()
    const empty = createMemberList().digest()
    for (const member of [SELF, KEEPER]) {
      list.merge(member)
    }
    for (const member of [KEEPER, SELF]) {
      reversed.merge(member)
    }
    expect(reversed.digest()).toEqual(list.digest())
    expectGolden(FILE, 'digests of members', { empty, two: list.digest() })
  })
})

describe('proofs of the peer key', () => {
  it('have the same bytes', () => {
    expectGolden(FILE, 'proofs', [
      proveKey(KEY, 'client', NONCE, 'proxy-1'), proveKey(KEY, 'server', NONCE, 'proxy-1'), proveKey('', 'client', NONCE, 'ž')
    ])
    const proof = proveKey(KEY, 'client', NONCE, 'proxy-1')
    expect([sameProof(proof, new Uint8Array(proof)), sameProof(proof, proof.subarray(1))]).toEqual([true, false])
  })
})

/** Sends and receives frames on a socket. */
function speak (socket: Socket): { next: () => Promise<Record<string, unknown>>, send: (value: unknown) => void } {
  const values: Array<Record<string, unknown>> = []
  const waiting: Array<(value: Record<string, unknown>) => void> = []
  const frames = attachFrames(socket, (value) => {
    const taker = waiting.shift()
    taker === undefined ? values.push(value as Record<string, unknown>) : taker(value as Record<string, unknown>)
  })
  return {
    next: async () => values.shift() ?? await new Promise((resolve) => waiting.push(resolve)),
    send: frames.send
  }
}

describe('the handshake', () => {
  it('of the accepting side and its replies has the same fields in the same order', async () => {
    const handlers = new Map([['echo', async (body: unknown) => body]])
    const server = await listenForPeers({
      host: 'proxy-2', address: '127.0.0.1', port: 0, key: KEY, logger: silentLogger, handlers
    })
    const socket = connect(server.port, '127.0.0.1')
    const { next, send } = speak(socket)
    const challenge = await next()
    const nonce = challenge['nonce'] as Uint8Array
    send({ type: 'hello', host: 'proxy-1', proof: proveKey(KEY, 'client', nonce, 'proxy-1'), nonce: NONCE })
    const welcome = await next()
    send({ id: 1, type: 'echo', body: { a: 1 } })
    const answer = await next()
    send({ id: 2, type: 'nothing', body: {} })
    const refusal = await next()
    socket.destroy()
    await server.close()
    expect(nonce.length).toEqual(16)
    expectGolden(FILE, 'accepting side', { challenge: Object.entries({ ...challenge, nonce: 16 }), welcome, answer, refusal })
  })

  it('of the connecting side and its requests has the same fields in the same order', async () => {
    const heard: unknown[] = []
    const server = createServer((socket) => {
      const { next, send } = speak(socket)
      send(FRAMES['challenge'])
      void next().then(async (hello) => {
        heard.push({ ...hello, nonce: (hello['nonce'] as Uint8Array).length })
        send({ type: 'welcome', host: 'p', proof: proveKey(KEY, 'server', hello['nonce'] as Uint8Array, 'p') })
        const asked = await next()
        heard.push(asked)
        send({ id: asked['id'], body: 'done' })
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const client = createPeerClient({ host: 'proxy-1', key: KEY, dialer: createDialer(), connectTimeoutMs: 5000 })
    const answer = await client.request({ address: '127.0.0.1', port }, 'evidence', EVIDENCE, 5000)
    client.close()
    server.close()
    expect(answer).toEqual('done')
    expectGolden(FILE, 'connecting side', heard)
  })
})

describe('requests in a caller\'s transaction', () => {
  it('have the same fields in the same order, and the same encoding', async () => {
    const sent: HomeRequest[] = []
    const take = (request: HomeRequest): HomeReply => {
      const { transactionId } = request as { transactionId?: string }
      sent.push({ ...request, ...(transactionId === undefined ? {} : { transactionId: transactionId.slice(0, -36) }) })
      if (request.type === 'commit') {
        throw new RequestError('may-have-run', 'PeerUnavailable', { peer: 'home', reason: 'the link was closed' })
      }
      return REPLIES['done']!
    }
    const requests = {
      passedOn: 0,
      send: async (request) => ({ reply: take(request), home: 'home' }),
      sendTo: async (_home, request) => take(request)
    } satisfies HomeRequests
    const transactions = createCallerTransactions({
      host: 'proxy-1', connectionId: 17, requests, base: () => BASE, onCommitted: () => {}
    })
    await transactions.begin()
    await transactions.execute({ sql: 'INSERT INTO a VALUES (?)', values: VALUES }, BASE, true)
    await transactions.commit('order-17')
    await transactions.begin()
    await transactions.rollBack()
    const frames = await Promise.all(sent.map(async (body, index) =>
      (await encodeFrame({ id: index, type: 'home', body })).toString('hex')))
    expectGolden(FILE, 'requests of a transaction', { sent, frames })
  })
})
