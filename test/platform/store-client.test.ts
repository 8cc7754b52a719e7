import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createPromotion } from '../../platform/promotion-client.ts'
import { desiredState, directory } from '../../platform/rows.ts'
import type { HttpAnswer, HttpCall, HttpClient } from '../../platform/http-client.ts'
import { createStore } from '../../platform/store-client.ts'

const encode = (text: string): string => Buffer.from(text).toString('base64')

/** Creates an HTTP client that returns the given answers in order and records the calls. */
function scripted (answers: Array<{ status?: number, body?: unknown }>): HttpClient & { calls: HttpCall[] } {
  const calls: HttpCall[] = []
  return {
    calls,
    send: async (call): Promise<HttpAnswer> => {
      calls.push(call)
      const { status = 200, body = {} } = answers.shift()!
      return { status, body: typeof body === 'string' ? body : JSON.stringify(body) }
    },
    close: () => {}
  }
}

describe('createStore', () => {
  // A change to a row of the first page, made before the last one is read, must come with the changes that follow.
  it('reads a table page by page and returns the version of the first page and the time of the last one', async () => {
    const row = (key: string, ver: number) => ({ table: 't', part: '', 'tls-key': key, value: encode(`of ${key}`), ver })
    const http = scripted([
      { body: { rows: [row('a', 1), row('b', 2)], ver: 7, 'now-ms': 70, 'has-more': true } },
      { body: { rows: [row('c', 3)], ver: 8, 'now-ms': 80, 'has-more': false } }
    ])
    expect(await createStore(http).list('t')).toEqual({
      rows: ['a', 'b', 'c'].map((key, index) => ({ key, value: `of ${key}`, version: index + 1 })), version: 7, nowMs: 80
    })
    expect(new URLSearchParams(http.calls[1]!.path.split('?')[1]).get('from')).toEqual('b\0')
  })

  it('separates changed from removed rows and returns the newest version', async () => {
    const http = scripted([{
      body: {
        rows: [
          { 'tls-key': 'a', value: encode('x'), ver: 4 }, { 'tls-key': 'b', ver: 6, deleted: true }
        ],
        ver: 9,
        'now-ms': 1
      }
    }])
    expect(await createStore(http).follow('t', 3, 500, new AbortController().signal)).toEqual({
      changed: [{ key: 'a', value: 'x', version: 4 }], removed: ['b'], newest: 6, version: 9
    })
  })

  it('returns undefined if the store no longer has the history', async () => {
    const http = scripted([{ status: 410 }])
    expect(await createStore(http).follow('t', 3, 500, new AbortController().signal)).toEqual(undefined)
  })

  it('writes conditionally and returns whether the conditions held', async () => {
    const http = scripted([{ status: 200 }, { status: 412, body: { rows: [] } }])
    const store = createStore(http)
    const transaction = {
      table: 't', expected: [{ key: 'a', version: 0 }], put: [{ key: 'a', value: 'x' }], remove: ['b']
    }
    expect([await store.write(transaction), await store.write(transaction)]).toEqual([true, false])
    expect(http.calls[0]!.body).toEqual({
      'expected-rev': [{ table: 't', part: '', 'tls-key': 'a', ver: 0 }],
      'set-keys': [{ table: 't', part: '', 'tls-key': 'a', value: encode('x') }],
      remove: [{ table: 't', part: '', 'tls-key': 'b' }]
    })
  })

  it('returns only the newest version of a row that was written several times', async () => {
    const row = (key: string, ver: number, deleted = false) =>
      deleted ? { 'tls-key': key, ver, deleted } : { 'tls-key': key, ver, value: encode(`${key}${ver}`) }
    const http = scripted([{
      body: JSON.stringify({
        rows: [row('a', 47), row('b', 48), row('a', 49), row('c', 50, true), row('b', 51, true), row('c', 52)],
        ver: 52,
        'now-ms': 9
      })
    }])
    expect(await createStore(http).follow('t', 46, 500, new AbortController().signal)).toEqual({
      changed: [{ key: 'a', value: 'a49', version: 49 }, { key: 'c', value: 'c52', version: 52 }],
      removed: ['b'],
      newest: 52,
      version: 52
    })
  })

  for (const status of [429, 503, 500]) {
    it(`reports the store as unavailable for status ${status}`, async () => {
      await expect(createStore(scripted([{ status }])).list('t')).toBeRejectedWith(`status ${status}`)
    })
  }

  it('reports the store as unavailable if the answer is invalid', async () => {
    await expect(createStore(scripted([{ body: '<html>' }])).list('t')).toBeRejectedWith('read rows')
  })
})

describe('createPromotion', () => {
  const order = { group: 'g', upstream: 'i-1', holder: 'h1', fence: 7 }

  it('sends the holder and the fencing token', async () => {
    const http = scripted([{}])
    expect(await createPromotion(http).promote(order)).toEqual('accepted')
    expect([http.calls[0]!.headers, http.calls[0]!.body]).toEqual([
      { 'X-Duty-Holder': 'h1', 'X-Fence-Token': '7' }, { service: 'g', id: 'i-1' }
    ])
  })

  it('recognises an upstream that is not running and rejects for other statuses', async () => {
    expect(await createPromotion(scripted([{ status: 409 }])).promote(order)).toEqual('not-running')
    await expect(createPromotion(scripted([{ status: 503 }])).promote(order)).toBeRejectedWith('status 503')
  })
})

describe('rows of the platform', () => {
  const server = {
    service: 'g',
    address: '10.1.0.8:8500',
    zone: 'z',
    version: 'v1',
    slots: 3,
    state: 'ready',
    'db-role': 'primary',
    sequence: 4
  }

  it('decodes an upstream', () => {
    expect(directory.decode({ key: 'i-1', value: JSON.stringify(server), version: 1 })).toEqual({
      upstream: 'i-1',
      group: 'g',
      endpoint: { address: '10.1.0.8', port: 8500 },
      failureDomain: 'z',
      slots: 3,
      draining: false,
      claimsPrimary: true
    })
  })

  it('decodes a draining upstream without a role', () => {
    const { 'db-role': _role, ...silent } = { ...server, state: 'draining' }
    const decoded = directory.decode({ key: 'i-1', value: JSON.stringify(silent), version: 1 })
    expect([decoded?.draining, decoded?.claimsPrimary]).toEqual([true, false])
  })

  it('returns undefined for an invalid upstream', () => {
    expect(directory.decode({ key: 'i-1', value: '{"service":', version: 1 })).toEqual(undefined)
    expect(directory.decode({ key: 'i-1', value: '{"service":3}', version: 1 })).toEqual(undefined)
  })

  it('decodes a desired state and rejects an incomplete one', () => {
    const route = {
      name: 'r',
      host: 'lepu270',
      type: 'bounded_staleness',
      'timeout-ms': 2000,
      'target-latency-ms': 500,
      priority: 2,
      service: 'g',
      'max-staleness-ms': 1500
    }
    const state = {
      version: 5, routes: [route], services: [{ name: 'g', 'max-connections': 23 }], limits: { 'tx-idle-ms': 3000 }
    }
    const { routes, connectionCaps, ...rest } = desiredState.decode(JSON.stringify(state))
    expect(rest).toEqual({ version: 5, organisations: new Map(), keys: new Map(), transactionIdleMs: 3000 })
    expect(routes.get('lepu270')).toEqual({
      name: 'r',
      database: 'lepu270',
      group: 'g',
      freshness: { type: 'bounded', maximumAgeMs: 1500 },
      timeoutMs: 2000,
      targetMs: 500,
      priority: 2,
      needsKey: false
    })
    expect(connectionCaps.get('g')).toEqual(23)
    const services = [...state.services, { name: 's', 'max-connections': 23, 'sync-replicas': 1 }]
    const { synchronousReplicas } = desiredState.decode(JSON.stringify({ ...state, services }))
    expect([...synchronousReplicas ?? []]).toEqual([['s', 1]])
    expect(() => desiredState.decode(JSON.stringify({ ...state, limits: {} }))).toThrow()
  })
})
