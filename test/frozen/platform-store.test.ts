import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { createPromotion } from '../../platform/promotion-client.ts'
import { desiredState, directory } from '../../platform/rows.ts'
import { digestOfKey, sealKeys } from '../../platform/secrets.ts'
import { createHttpClient, type HttpClient } from '../../platform/http-client.ts'
import { createStore } from '../../platform/store-client.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { expectGolden } from './golden.ts'

const ADDRESS = '127.0.0.1'
const encode = (text: string): string => Buffer.from(text).toString('base64')

const SERVER = { service: 'g', address: '10.1.0.9:5001', zone: 'x', slots: 3, state: 'ready' }
const ROUTE = {
  name: 'money',
  host: 'money',
  type: 'primary',
  'timeout-ms': 800,
  'target-latency-ms': 200,
  priority: 1,
  service: 'g'
}
const CONFIG = {
  version: 7,
  routes: [
    ROUTE,
    { ...ROUTE, name: 'v', host: 'view', type: 'bounded_staleness', 'max-staleness-ms': 1500, anonymous: false },
    { ...ROUTE, name: 'o', host: 'own', type: 'read_your_writes', 'max-staleness-ms': 2500, anonymous: true },
    { ...ROUTE, name: 'w', host: 'weak', type: 'bounded_staleness' }
  ],
  services: [{ name: 'g', 'max-connections': 30 }],
  limits: { 'tx-idle-ms': 3000 },
  tenants: [
    { name: 'red', 'key-digests': ['d1', 'd2'], 'rate-per-s': 20, burst: 5 },
    { name: 'blue', 'key-digests': [], 'rate-per-s': 2.5 },
    { name: 'green', 'key-digests': ['d3'], burst: 5 }
  ]
}

/** Converts a value to JSON, with maps as lists of pairs. */
function show (value: unknown): unknown {
  if (value instanceof Map) {
    return [...value].map(show)
  }
  if (Array.isArray(value)) {
    return value.map(show)
  }
  return typeof value === 'object' && value !== null
    ? Object.fromEntries(Object.entries(value).map(([name, part]) => [name, show(part)]))
    : value
}

describe('HTTP call encoding is unchanged', () => {
  const ends: Array<() => void> = []
  afterEach(() => ends.splice(0).reverse().forEach((end) => end()))

  /** Starts a server that sends responses from a list and records the raw requests. */
  const serve = async (
    answers: Array<[number, unknown]>, keepAlive: boolean
  ): Promise<{ http: HttpClient, calls: () => string[] }> => {
    const calls: string[] = []
    const server = createServer((socket) => {
      let text = ''
      socket.on('error', () => {})
      socket.on('data', (data) => {
        text += data.toString()
        const [head = '', body] = text.split('\r\n\r\n')
        const isChunked = /transfer-encoding: chunked/i.test(head)
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0)
        if (body === undefined || (isChunked ? !text.endsWith('0\r\n\r\n') : body.length < length)) {
          return
        }
        calls.push(text)
        text = ''
        const [status, answer] = answers.shift()!
        const reply = JSON.stringify(answer)
        socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: ${Buffer.byteLength(reply)}\r\n\r\n${reply}`)
      })
    }).listen(0, ADDRESS)
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const http = createHttpClient({ address: ADDRESS, port }, createDialer(), { keepAlive })
    ends.push(() => server.close(), () => http.close())
    return { http, calls: () => calls.map((call) => call.replaceAll(String(port), 'PORT')) }
  }

  it('in calls to the store', async () => {
    const row = (key: string, ver: number) => ({ 'tls-key': key, value: encode(`of ${key}`), ver })
    const { http, calls } = await serve([
      [200, { rows: [row('a', 1), row('b/ä', 2)], ver: 7, 'now-ms': 70.5, 'has-more': true }],
      [200, { rows: [row('c', 3)], ver: 8, 'now-ms': 80, 'has-more': false }],
      [200, { rows: [row('a', 8), row('a', 9), { 'tls-key': 'b', ver: 10, deleted: true }], ver: 12, 'now-ms': 1 }],
      [410, {}],
      [200, { rows: [], ver: 12, 'now-ms': 1 }],
      [200, {}],
      [412, { rows: [] }],
      [200, { rows: [{ 'tls-key': 'config', value: encode('{"api-keys":["k1"]}'), ver: 1 }], ver: 1, 'now-ms': 1 }]
    ], true)
    const store = createStore(http)
    const { signal } = new AbortController()
    const transaction = {
      table: 'worksward',
      expected: [{ key: 'host/h1', version: 4 }, { key: 'duty/promotion', version: 0 }],
      put: [{ key: 'host/h1', value: '{"address":"ä"}' }]
    }
    const results = [
      await store.list('worksward'),
      await store.follow('servers', 7, 5000, signal),
      await store.follow('servers', 8, 5000, signal) ?? 'history gone',
      await store.follow('servers', 8, 0, signal),
      await store.write(transaction),
      await store.write({ table: 'worksward', expected: [], put: [], remove: ['host/h1'] }),
      await store.list('op')
    ]
    expectGolden('platform-store-calls', { calls: calls(), results })
  })

  it('in calls to the promotion service', async () => {
    const { http, calls } = await serve([[200, {}], [409, {}], [403, {}]], false)
    const promotion = createPromotion(http)
    const order = { group: 'g', upstream: 'g-b', holder: 'front-1', fence: 12 }
    const results = [
      await promotion.promote(order),
      await promotion.promote(order),
      await promotion.promote(order).catch((thrown: Error) => thrown.message)
    ]
    expectGolden('platform-promotion-calls', { calls: calls(), results })
  })
})

describe('decoding of platform rows is unchanged', () => {
  it('for upstreams', () => {
    expect(directory.table).toEqual('servers')
    const values: unknown[] = [
      { ...SERVER, 'db-role': 'primary', born: 1_700_000_000_000, unknown: 1 },
      { ...SERVER, state: 'draining', 'db-role': 'replica' },
      SERVER,
      { ...SERVER, state: 'other' },
      { ...SERVER, slots: 0 },
      { ...SERVER, address: '10.1.0.9' },
      { ...SERVER, address: 'name:5001' },
      { ...SERVER, address: '10.1.0.9:70000' },
      { ...SERVER, born: 1.5 },
      { ...SERVER, zone: undefined },
      { ...SERVER, service: undefined },
      {},
      []
    ]
    expectGolden('platform-upstreams', values.map((value) => ({
      value, entry: directory.decode({ key: 'i-1', value: JSON.stringify(value), version: 3 }) ?? 'unreadable'
    })))
  })

  it('for the desired state', () => {
    expect([desiredState.table, desiredState.key]).toEqual(['op', 'config'])
    const decode = (value: unknown): unknown => {
      try {
        return show(desiredState.decode(JSON.stringify(value)))
      } catch {
        return 'unreadable'
      }
    }
    const without = (name: string) => ({ ...CONFIG, [name]: undefined })
    const refused = ['version', 'routes', 'services', 'limits'].map(without)
    const wrongRoutes = [...Object.keys(ROUTE).map((name) => ({ ...ROUTE, [name]: undefined })), { ...ROUTE, type: 'other' }]
    expectGolden('platform-desired-state', [CONFIG, without('tenants')].map((value) => ({ value, state: decode(value) })))
    expect(refused.map(decode)).toEqual(refused.map(() => 'unreadable'))
    expect(wrongRoutes.map((route) => decode({ ...CONFIG, routes: [route] }))).toEqual(wrongRoutes.map(() => 'unreadable'))
    expect(decode({ ...CONFIG, tenants: [{ name: '', 'key-digests': [] }] })).toEqual('unreadable')
    expect(decode({ ...CONFIG, tenants: [{ name: 'red' }] })).toEqual('unreadable')
  })
})

describe('key digests', () => {
  it('have the same values', () => {
    expect(['key-1', '', 'ä'].map(digestOfKey)).toEqual(['vil0VGl443OebW2oXEvp8z', '47DEQpj8HBSa-_TImW-5JC', 'M-bXP-6CkEyNevt43hFU0e'])
  })

  it('replace keys in texts', () => {
    const sealed = [
      '{"version":1,"tenants":[{"name":"red","api-keys":["key-1","",3],"burst":5}]}',
      '{"api-keys":"key-1","key-digests":["x"],"deep":{"list":[{"api-keys":["ä"]}]}}',
      'not json', '7', 'null', ''
    ].map(sealKeys)
    expectGolden('platform-sealed', sealed)
  })
})
