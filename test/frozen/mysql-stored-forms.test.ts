/** Rows and objects in requests to the platform, and statements sent to upstreams. */
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { createConfigurationStore } from '../../src/mysql-proxy/configuration/configuration-store.ts'
import { groupSchema, proxySettingsSchema } from '../../src/core/config/index.ts'
import { Deadline } from '../../src/core/time/deadline.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { createMemberList } from '../../src/mysql-proxy/membership/member-list.ts'
import type { Opinions } from '../../src/mysql-proxy/membership/opinions.ts'
import { readPlatformList } from '../../src/mysql-proxy/membership/platform-list.ts'
import type { Member } from '../../src/mysql-proxy/membership/types.ts'
import type { Client } from '../../src/mysql/client.ts'
import type { Answer, RowsAnswer, Statement } from '../../src/mysql/types.ts'
import { parseLedgerRecord, type KeyedAttempt } from '../../src/mysql-proxy/ledger/request-key.ts'
import { SWEEP_INTERVAL_MS, startLedgerSweeper } from '../../src/mysql-proxy/ledger/ledger-sweeper.ts'
import { commitUnderKey, ledgerArguments, runAndCommit } from '../../src/mysql-proxy/routing/commit.ts'
import { createObjectStore } from '../../src/emulation/standin/object-store.ts'
import { createTableService } from '../../src/emulation/standin/table-service.ts'
import { connectPlatform, type PlatformConnection } from '../../src/mysql-proxy/storage/index.ts'
import { HEAD_SORT, hostRowSchema, LOWEST_SORT, PARTITIONS } from '../../src/mysql-proxy/storage/types.ts'
import type { ConnectionPool } from '../../src/mysql-proxy/upstreams/connection-pool.ts'
import type { GroupView } from '../../src/mysql-proxy/upstreams/group-view.ts'
import { useManualCommit } from '../../src/mysql-proxy/upstreams/manual-commit.ts'
import { callProcedure, PROCEDURES } from '../../src/mysql-proxy/upstreams/procedures.ts'
import { logEnd, parseStatus } from '../../src/mysql-proxy/upstreams/status.ts'
import { expectGolden, readGolden } from './mysql-golden.ts'

const FILE = 'stored-forms'
const NOW = 1_790_000_000_000

/** A request to the platform. */
interface Recorded {
  method?: string
  url?: string
  operation: string
  type?: string
  body: string
}

const GROUP = groupSchema.parse({
  upstreams: [
    { name: 'member-a-1', address: '10.0.1.1', port: 3306, failureDomain: 'seoul-a' },
    { name: 'member-a-2', address: '10.0.1.2', port: 3306, failureDomain: 'seoul-b', state: 'draining' }
  ],
  account: { user: 'worksward', password: 'secret' },
  services: { app: { passwordHash: 'ab'.repeat(20), kinds: { grid: { access: 'read' }, purchase: { access: 'write' } } } },
  limits: { queue: 88 },
  duties: { promotion: 'observe' }
})
const change = (changeId: string) => ({ changeId, operator: 'operator', at: '2026-01-01T00:00:00.000Z', reason: 'š' })

/** Masks the random token that the client library adds to each transaction. */
function hideToken (body: string): string {
  return body.replace(/"ClientRequestToken":"[0-9a-f-]{36}"/, '"ClientRequestToken":"random"')
}

describe('rows and objects of the platform', () => {
  let table = createTableService()
  let objects = createObjectStore()
  let recorded: Recorded[] = []
  let server: Server
  let connection: PlatformConnection

  before(async () => {
    server = createServer((request, response) => {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => chunks.push(chunk))
      request.on('end', () => {
        const body = Buffer.concat(chunks)
        const operation = String(request.headers['x-amz-target'] ?? '')
        const { method, url, headers } = request
        recorded.push({ method, url, operation, type: headers['content-type'], body: hideToken(body.toString()) })
        const answer = operation === ''
          ? { ...objects.call(method ?? 'GET', new URL(url ?? '/', 'http://platform'), body) }
          : {
              ...table.call(operation.split('.')[1]!, JSON.parse(body.toString())),
              contentType: 'application/x-amz-json-1.0'
            }
        response.writeHead(answer.status, { 'content-type': answer.contentType })
          .end(operation === '' ? answer.body : JSON.stringify(answer.body))
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const endpoint = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    connection = connectPlatform(proxySettingsSchema.shape.platform.parse({
      tableEndpoint: endpoint, objectEndpoint: endpoint, accessKey: 'key', secretKey: 'secret', timeoutMs: 10_000
    }), createDialer())
  })
  after(async () => {
    connection.close()
    server.closeAllConnections()
    server.close()
    await once(server, 'close')
  })

  const record = async (run: () => Promise<unknown>): Promise<{ result: unknown, requests: Recorded[] }> => {
    recorded = []
    const result = await run()
    return { result, requests: recorded }
  }

  it('are written and read with the same requests', async () => {
    const store = createConfigurationStore(connection.table, connection.objects)
    const step = async (name: string, run: () => Promise<unknown>): Promise<void> =>
      expectGolden(FILE, name, await record(run))
    await step('revision of nothing', store.revision)
    await step('first change', async () =>
      await store.accept([{ name: 'member-a', group: GROUP, baseVersion: 0 }], change('change-1')))
    await step('second change', async () =>
      await store.accept([{ name: 'member-a', group: { ...GROUP, keyRetentionMs: 1000 }, baseVersion: 1 }],
        change('change-2')))
    await step('removal', async () =>
      await store.accept([{ name: 'member-a', group: null, baseVersion: 2 }], change('change-3')))
    await step('the same change again', async () =>
      await store.accept([{ name: 'member-a', group: null, baseVersion: 2 }], change('change-3')))
    await step('all groups', async () => await store.changesSince(0))
    await step('groups since', async () => await store.changesSince(1))
    await step('history', async () => await store.history(1))
    await step('snapshot', async () => await store.snapshot('member-a', 1))
    await step('objects', async () => await connection.objects.list('groups/'))
    await step('object that is not there', async () => await connection.objects.get('groups/none'))
  })

  it('from earlier releases are parsed', async () => {
    table = createTableService()
    objects = createObjectStore()
    for (const name of ['first change', 'second change']) {
      const { requests } = readGolden(FILE)[name] as { requests: Recorded[] }
      for (const { operation, method, url, body } of requests) {
        if (method === 'PUT') {
          objects.call(method, new URL(url ?? '/', 'http://platform'), Buffer.from(body))
        } else {
          expect(table.call(operation.split('.')[1]!, JSON.parse(body)).status).toEqual(200)
        }
      }
    }
    const store = createConfigurationStore(connection.table, connection.objects)
    const newest = {
      name: 'member-a', group: { ...GROUP, keyRetentionMs: 1000 }, change: change('change-2'), version: 2, revision: 2
    }
    expect(await store.changesSince(0)).toEqual({ revision: 2, groups: [newest] })
    expect(await store.snapshot('member-a', 1))
      .toEqual({ name: 'member-a', group: GROUP, change: change('change-1'), version: 1, revision: 1 })
    expect((await store.history(0)).map(({ changeId }) => changeId)).toEqual(['change-1', 'change-2'])
  })

  it('have the same partitions and keys', () => {
    expect({ PARTITIONS, HEAD_SORT, LOWEST_SORT }).toEqual({
      PARTITIONS: { hosts: 'hosts', groups: 'groups', changes: 'changes', head: 'head' },
      HEAD_SORT: 'configuration',
      LOWEST_SORT: ' '
    })
  })

  it('that list hosts are parsed to the same values', async () => {
    const row = { host: 'proxy-9', role: 'proxy', failureDomain: 'a', address: '10.0.0.9', port: 7001, state: 'live' }
    const body = '{"host":"proxy-9","role":"proxy","failureDomain":"a","address":"10.0.0.9","port":7001,"state":"live"}'
    expect(hostRowSchema.parse(JSON.parse(body)) as unknown).toEqual(row)
    table.put('hosts', 'proxy-9', body)
    const heard: Member[] = []
    const opinions = { hear: (member: Member) => { heard.push(member) } } as unknown as Opinions
    const list = createMemberList()
    const { requests } = await record(async () => await readPlatformList(connection.table, list, opinions))
    expectGolden(FILE, 'list of hosts', { requests, heard })
  })
})

const ATTEMPT: KeyedAttempt = {
  scope: 'app', key: "it's \\ key", fingerprint: 'e3b0c44298fc1c149afbf4c8996fb924', attempt: 2
}
const COLUMNS = [
  'outcome', 'state', 'fingerprint', 'attempt', 'affectedRows', 'insertId',
  'term', 'fencedTerm', 'logTerm', 'position', 'role', 'primary', 'incarnation', 'leaving'
]
const CELLS = ['entered', 'done', 'f', '2', '1', '17', '5', '5', '4', '4711', 'primary', 'member-a-1', 'f00d', '1']

function toRows (columns: string[], cells: string[]): RowsAnswer {
  return {
    type: 'rows',
    columns: columns.map((name) => ({ name, type: 253, flags: 0, characterSet: 45, columnLength: 1024, decimals: 0 })),
    rows: [cells.map((cell) => Buffer.from(cell))]
  }
}

/** Creates a connection that records the statements sent to it. */
function createRecorder (): { client: Client, sent: Statement[] } {
  const sent: Statement[] = []
  const run = async (statement: Statement): Promise<Answer> => {
    sent.push(statement)
    return statement.sql.startsWith('CALL worksward_commit')
      ? toRows(COLUMNS, CELLS)
      : { type: 'done', affectedRows: 3, insertId: 9 }
  }
  return { client: { run, usable: true, close: () => {} } as unknown as Client, sent }
}

describe('statements to upstreams', () => {
  before(() => mock.timers.enable({ apis: ['Date'], now: NOW }))
  after(() => mock.timers.reset())

  it('that call procedures have the same text', () => {
    expectGolden(FILE, 'procedures', { PROCEDURE_NAMES: Object.keys(PROCEDURES), PROCEDURES })
    expectGolden(FILE, 'calls', [
      callProcedure('status'), callProcedure('wait', [5, 4, 4711, 1000]), callProcedure('fence', [6]),
      callProcedure('promote', [6]), callProcedure('follow', ['member-a-2', 6]),
      callProcedure('find', [ATTEMPT.scope, ATTEMPT.key]), callProcedure('contest', ledgerArguments(ATTEMPT)),
      callProcedure('sweep', [NOW, 500]), callProcedure('commit')
    ])
  })

  it('that commit with and without a key have the same text', async () => {
    const { client, sent } = createRecorder()
    const deadline = (): Deadline => new Deadline(60_000)
    const result = await runAndCommit(client, { sql: 'INSERT INTO a VALUES (?)', values: [1] }, ATTEMPT, deadline(),
      'may-have-run')
    await runAndCommit(client, { sql: 'DELETE FROM a' }, undefined, deadline(), 'may-have-run')
    await commitUnderKey(client, ATTEMPT, toRows(['a'], ['1']), deadline(), 'may-have-run')
    expectGolden(FILE, 'commits', { sent, result })
  })

  it('that enable and disable manual commits have the same text', async () => {
    const { client, sent } = createRecorder()
    await useManualCommit(client, true, 1000)
    await useManualCommit(client, true, 1000)
    await useManualCommit(client, false, 1000)
    expectGolden(FILE, 'manual commits', sent)
  })

  it('that sweep the ledger have the same text', async () => {
    const { client, sent } = createRecorder()
    const pool = { run: async (_request: unknown, work: (client: Client) => unknown) => await work(client) }
    const view = { leadership: { primary: 'member-a-1' }, usablePrimary: {} } as unknown as GroupView
    const { sweep, close } = startLedgerSweeper({
      view, pools: new Map([['member-a-1', pool as unknown as ConnectionPool]]), group: () => GROUP
    })
    const swept = await sweep()
    close()
    expectGolden(FILE, 'sweeps', { sent, swept, SWEEP_INTERVAL_MS })
  })

  it('return rows that are parsed to the same values', () => {
    const answer = toRows(COLUMNS, CELLS)
    expectGolden(FILE, 'parsed rows', {
      ledger: parseLedgerRecord(answer), status: parseStatus(answer), end: logEnd(parseStatus(answer))
    })
  })
})
