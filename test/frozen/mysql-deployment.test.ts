/** Interfaces of running proxies and keepers: message types and fields, HTTP paths, tables and metrics. */
import { randomUUID } from 'node:crypto'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { EMBEDDED_OPERATOR_KEY } from '../../src/emulation/embedded/sizes.ts'
import { TABLE_NAMES } from '../../src/mysql-proxy/language/types.ts'
import type { DeployedHost } from '../../src/emulation/embedded/deployment.ts'
import { GROUP, purchase, readRequests, startTestDeployment, until, type TestDeployment } from '../fixtures/deployment.ts'
import { expectGolden } from './mysql-golden.ts'

const FILE = 'deployment'
const TIMEOUT_MS = 5000

/** Fields of each message in the order sent; several entries where senders differ. */
const MESSAGES: Record<string, string[]> = {
  heartbeat: ['members,digest,revision'],
  'heartbeat reply': ['members,digest,revision'],
  members: ['0'],
  'try-member': ['host,role,failureDomain,address,port,startedAt,version,state'],
  'evidence of a proxy': ['group,upstream,term,failureDomain,host'],
  'evidence of a keeper': ['upstream,term,failureDomain,group,host'],
  leadership: ['type,term,primary,group', 'term,primary,group'],
  promote: ['group,upstream'],
  'configuration-since': ['revision'],
  'configuration-since reply': ['revision,groups'],
  'configuration-revision': [''],
  'set-work': ['type'],
  'home execute': ['group,service,deadlineMs,type,kind,statement,floor,readIndex,key'],
  'home begin': ['group,service,deadlineMs,type,transactionId'],
  'home transaction-execute': ['group,service,deadlineMs,type,transactionId,statement'],
  'home commit': ['group,service,deadlineMs,key,fingerprint,type,transactionId,writes'],
  'home rollback': ['group,service,deadlineMs,type,transactionId'],
  'home explain': ['type,group,service,kind,floor,deadlineMs']
}
/** Messages that these tests always trigger. */
const CERTAIN = [
  'heartbeat', 'promote', 'configuration-revision', 'set-work', 'home execute', 'home begin', 'home transaction-execute',
  'home commit', 'home rollback', 'home explain', 'leadership'
]
const TYPES = [
  'heartbeat', 'members', 'try-member', 'evidence', 'leadership', 'promote', 'configuration-since', 'configuration-revision',
  'set-work', 'home', 'nothing'
]

/** Replaces each value by its type. */
function shapeOf (value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.length === 0 ? [] : [shapeOf(value[0])]
  }
  return typeof value === 'object' && value !== null
    ? Object.fromEntries(Object.entries(value).map(([key, part]) => [key, shapeOf(part)]))
    : typeof value
}

describe('interfaces of running proxies and keepers', () => {
  const seen = new Map<string, Set<string>>()
  let deployment: TestDeployment

  const note = (name: string, body: unknown): void => {
    const fields = Object.keys(body as object)
    const shown = Array.isArray(body) ? fields.slice(0, 1) : fields
    seen.set(name, (seen.get(name) ?? new Set()).add(shown.join(',')))
  }
  /** Records the requests that a host sends, and the replies it gets. */
  const listen = ({ kernel, callerPort }: DeployedHost): void => {
    const role = callerPort === 0 ? 'keeper' : 'proxy'
    const nameOf = (type: string, body: unknown): string => {
      const names: Record<string, string> = {
        home: `home ${(body as { type?: string }).type}`, evidence: `evidence of a ${role}`
      }
      return names[type] ?? type
    }
    const peers = kernel.use('peers')
    const { request } = peers
    peers.request = async (endpoint, type, body, timeoutMs) => {
      note(nameOf(type, body), body)
      const answer = await request(endpoint, type, body, timeoutMs)
      if (`${type} reply` in MESSAGES) {
        note(`${type} reply`, answer)
      }
      return answer
    }
  }

  before(async () => {
    deployment = await startTestDeployment({}, {
      adjust: ({ groups }) => { groups[GROUP]!.limits.homes = 1 }
    });
    [...deployment.proxies, ...deployment.keepers].forEach(listen)
  })
  after(async () => await deployment.close())

  const call = async (path: string, body?: unknown, host = deployment.proxies[0]!, key = EMBEDDED_OPERATOR_KEY) => {
    const response = await fetch(`http://127.0.0.1:${host.httpPort}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      body: typeof body === 'string' ? body : JSON.stringify(body),
      headers: { authorization: `Bearer ${key}` }
    })
    return { status: response.status, type: response.headers.get('content-type'), text: await response.text() }
  }
  const expectReply = async (name: string, path: string, body?: unknown, host?: DeployedHost): Promise<unknown> => {
    const { status, type, text } = await call(path, body, host)
    expectGolden(FILE, name, { status, type, shape: shapeOf(JSON.parse(text)) })
    return JSON.parse(text)
  }
  const query = async (text: string, proxy = 0): Promise<Array<Record<string, unknown>>> => {
    const { status, text: answer } = await call('/query', { query: text }, deployment.proxies[proxy])
    expect(status).toEqual(200)
    return (JSON.parse(answer) as { rows: Array<Record<string, unknown>> }).rows
  }

  const expectKnown = (): void => {
    const unknown = [...seen].map(([name, forms]) =>
      [name, [...forms].filter((form) => MESSAGES[name]?.includes(form) !== true)] as const)
    expect(unknown.filter(([, forms]) => forms.length > 0)).toEqual([])
  }

  it('handle the same message types', async () => {
    const handled: Record<string, string[]> = {}
    for (const [role, { kernel }] of [['proxy', deployment.proxies[1]!], ['keeper', deployment.keepers[0]!]] as const) {
      const endpoint = { address: '127.0.0.1', port: kernel.use('peers').port }
      const asked = await Promise.all(TYPES.map(async (type) => {
        const refusal = await deployment.proxies[0]!.kernel.use('peers').request(endpoint, type, {}, TIMEOUT_MS)
          .then(() => '', (thrown: Error) => thrown.message)
        return refusal.includes(`no handler for ${type}`) ? [] : [type]
      }))
      handled[role] = asked.flat()
    }
    seen.clear()
    expect(handled).toEqual({
      proxy: [
        'heartbeat', 'members', 'try-member', 'leadership', 'configuration-since', 'configuration-revision', 'set-work', 'home'
      ],
      keeper: [
        'heartbeat', 'members', 'try-member', 'evidence', 'leadership', 'promote', 'configuration-since', 'configuration-revision'
      ]
    })
  })

  it('respond on the same paths', async () => {
    await purchase(await deployment.connect(0), 'paths', 'p1')
    await readRequests(await deployment.connect(0), 'paths')
    await expectReply('live', '/live')
    await expectReply('ready', '/ready')
    await expectReply('no path', '/none')
    await expectReply('keeper live', '/live', undefined, deployment.keepers[0])
    await expectReply('keeper ready', '/ready', undefined, deployment.keepers[0])
    await expectReply('keeper has no console', '/query', { query: 'show groups' }, deployment.keepers[0])
    await expectReply('plan of nothing', '/plan', { declarations: deployment.declarations })
    const declarations = structuredClone(deployment.declarations)
    declarations.groups[GROUP]!.limits.queue = 99
    await expectReply('plan', '/plan', { declarations })
    const { revision } = await expectReply('apply', '/apply', { declarations, changeId: randomUUID(), reason: 'r' }) as
      { revision: number }
    await expectReply('apply of nothing', '/apply', { declarations, changeId: randomUUID() })
    await expectReply('progress', '/progress', { revision })
    await expectReply('rollback', '/rollback', { group: GROUP, version: 1, changeId: randomUUID(), reason: '' })
  })

  it('reject requests with the same statuses and errors', async () => {
    const refusals = [
      await call('/query', { query: 'show groups' }, undefined, 'wrong'), await call('/query', 'not json'),
      await call('/query', { query: 'shwo groups' }), await call('/query', { query: 'drain upstream none' }),
      await call('/query', { query: 'drain proxy none' }), await call('/query', { query: 'set none.limits.queue = 1' }),
      await call('/rollback', { group: GROUP, version: 99, changeId: randomUUID() }), await call('/progress', {}),
      await call('/query', {})
    ]
    expectGolden(FILE, 'refusals', refusals)
  })

  it('return the same columns', async () => {
    const connection = await deployment.connect(0)
    await readRequests(connection, 'columns')
    const home = deployment.proxies.findIndex(({ kernel, name }) => kernel.use('routing').homesOf(GROUP)[0]?.host === name)
    for (const table of TABLE_NAMES) {
      const [row] = await query(`show ${table}`, table === 'connections' ? home : 0)
      expectGolden(FILE, `columns of ${table}`, shapeOf(row))
    }
    expectGolden(FILE, 'explanation of a write', shapeOf(await query(`explain ${GROUP} app purchase`)))
    expectGolden(FILE, 'answer to set', shapeOf(await query(`set ${GROUP}.limits.queue = 50 because 'r'`)))
  })

  it('expose the same metrics', async () => {
    for (const [role, host] of [['proxy', deployment.proxies[0]!], ['keeper', deployment.keepers[0]!]] as const) {
      const { text, type, status } = await call('/metrics', undefined, host)
      const lines = text.split('\n')
      const samples = lines.filter((line) => !line.startsWith('#') && line !== '').map((line) => line.replace(/ \S+$/, ''))
      expectGolden(FILE, `metrics of a ${role}`, {
        status,
        type,
        described: lines.filter((line) => line.startsWith('#')),
        labels: [...new Set(samples.map((sample) => sample.replace(/="[^"]*"/g, '')))],
        values: samples.filter((sample) => !sample.startsWith('worksward_requests{'))
      })
    }
  })

  it('dump the state of the same plugins', async () => {
    for (const [role, host] of [['proxy', deployment.proxies[0]!], ['keeper', deployment.keepers[0]!]] as const) {
      const { text } = await call('/dump', undefined, host)
      const parts = Object.entries(JSON.parse(text) as Record<string, Record<string, unknown>>)
      expectGolden(FILE, `dump of a ${role}`, Object.fromEntries(parts.map(([name, part]) =>
        [name, name === 'failover' ? 'by group' : Object.keys(part).sort()])))
    }
  })

  it('send messages with the same fields', async () => {
    for (const proxy of [0, 1, 2]) {
      const connection = await deployment.connect(proxy)
      await purchase(connection, 'messages', `m${proxy}`)
      await readRequests(connection, 'messages')
      for (const end of ['COMMIT', 'ROLLBACK']) {
        await connection.query('BEGIN')
        await connection.query(`INSERT INTO records (session, request, amount) VALUES ('tx', '${end}', 0)`)
        await connection.query(end)
      }
      await query(`explain ${GROUP} app purchase`, proxy)
    }
    await query('drain proxy proxy-3')
    await query('restore proxy proxy-3')
    await call('/progress', { revision: 1 })
    const target = [...deployment.standins.groups.get(GROUP)!.keys()]
      .find((name) => name !== deployment.primaryOf(GROUP).upstream.name)!
    await query(`promote ${GROUP} to ${target}`)
    await until(() => CERTAIN.every((type) => seen.has(type)))
    expectKnown()
  })

  it('send messages with the same fields when an upstream and a host do not respond', async () => {
    const reader = await deployment.connect(0)
    deployment.network.isolate(deployment.primaryOf(GROUP).upstream.name)
    await until(async () => {
      await purchase(reader, 'silent', randomUUID()).catch(() => {})
      return seen.has('evidence of a proxy') && seen.has('evidence of a keeper')
    })
    deployment.network.isolate('proxy-3')
    await until(() => seen.has('try-member'))
    deployment.network.mend()
    expectKnown()
  })
})
