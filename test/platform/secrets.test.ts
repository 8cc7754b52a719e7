import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as fastCheck from 'fast-check'
import { desiredState, directory } from '../../platform/rows.ts'
import { digestOfKey, sealKeys } from '../../platform/secrets.ts'
import { createStore } from '../../platform/store-client.ts'

const KEYS = ['cruddedev3nax7u27gxp', 'rymh2rrytapjsujqurty', 'zpplehty3nwq81ssx04k']
const route = {
  name: 'r',
  host: 'lepu270',
  type: 'primary',
  'timeout-ms': 800,
  'target-latency-ms': 120,
  priority: 1,
  service: 'g',
  anonymous: false
}
const state = {
  version: 5,
  routes: [route, { ...route, name: 'o', host: 'open1', anonymous: true }],
  services: [{ name: 'g', 'max-connections': 29 }],
  limits: { 'tx-idle-ms': 3000 },
  tenants: [
    { name: 'gozi510', 'api-keys': KEYS.slice(0, 2), priority: 1, 'rate-per-s': 78, burst: 40 },
    { name: 'vuba100', 'api-keys': KEYS.slice(2) }
  ]
}
const encode = (text: string): string => Buffer.from(text).toString('base64')
const storeOf = (text: string) => createStore({
  send: async () => ({
    status: 200,
    body: JSON.stringify({ rows: [{ 'tls-key': 'config', value: encode(text), ver: 3 }], ver: 3, 'now-ms': 1 })
  }),
  close: () => {}
})

describe('API keys of organisations', () => {
  it('are replaced by digests in rows that the store client returns', async () => {
    const { rows } = await storeOf(JSON.stringify(state)).list('op')
    const changes = await storeOf(JSON.stringify(state)).follow('op', 0, 1, new AbortController().signal)
    const texts = [rows[0]!.value, changes!.changed[0]!.value]
    expect(texts.some((text) => KEYS.some((key) => text.includes(key)))).toEqual(false)
    const { organisations, keys, routes } = desiredState.decode(texts[0]!)
    expect(KEYS.map((key) => keys.get(digestOfKey(key)))).toEqual(['gozi510', 'gozi510', 'vuba100'])
    expect(organisations.get('gozi510')).toEqual({ name: 'gozi510', limit: { perSecond: 78, burst: 40 } })
    expect(organisations.get('vuba100')).toEqual({ name: 'vuba100' })
    expect([routes.get('lepu270')?.needsKey, routes.get('open1')?.needsKey]).toEqual([true, false])
  })

  it('appear neither in the row nor in the error if the desired state is invalid JSON', async () => {
    const broken = JSON.stringify(state).slice(0, -3)
    const { rows } = await storeOf(broken).list('op')
    let reason = ''
    try {
      desiredState.decode(rows[0]!.value)
    } catch (thrown) {
      reason = String(thrown)
    }
    expect(reason === '').toEqual(false)
    expect(KEYS.some((key) => `${rows[0]!.value} ${reason}`.includes(key))).toEqual(false)
  })

  it('are replaced at any depth of nesting', () => {
    const nested = fastCheck.letrec((tie) => ({
      value: fastCheck.oneof(
        fastCheck.string(), fastCheck.array(tie('value'), { maxLength: 3 }),
        fastCheck.record({ 'api-keys': fastCheck.constant(KEYS), more: tie('value') }))
    }))
    fastCheck.assert(fastCheck.property(nested.value, (value) => {
      const sealed = sealKeys(JSON.stringify(value))
      return !KEYS.some((key) => sealed.includes(key))
    }), { seed: 24, numRuns: 300 })
  })
})

describe('invalid rows of upstreams', () => {
  const server = { service: 'g', address: '10.1.0.8:8500', zone: 'z', slots: 3, state: 'ready', born: 1_790_000_000_123 }
  const decode = (value: unknown) => directory.decode({ key: 'i-1', value: JSON.stringify(value), version: 1 })

  it('decode to undefined if a field is missing or has the wrong type or an unknown value', () => {
    expect(decode(server)?.bornAt).toEqual(1_790_000_000_123)
    const { address: _address, ...incomplete } = server
    const wrong: unknown[] = [
      incomplete, { ...server, slots: '3' }, { ...server, slots: 0 }, { ...server, state: 'asleep' },
      { ...server, address: 'nowhere' }, { ...server, address: '10.1.0.8:0' }, { ...server, address: '10.1.0.8:x' },
      { ...server, born: 'today' }, { ...server, service: null }, [], 7, null
    ]
    expect(wrong.map(decode)).toEqual(wrong.map(() => undefined))
  })

  it('never throw, whatever they contain', () => {
    const anything = fastCheck.oneof(
      fastCheck.string(), fastCheck.double(), fastCheck.boolean(), fastCheck.constant(null))
    const fields = Object.fromEntries(Object.keys(server).map((name) => [name, anything]))
    const row = fastCheck.record(fields, { requiredKeys: [] })
    const decodesAny = fastCheck.property(row, (value) => { decode({ ...server, ...value }) })
    fastCheck.assert(decodesAny, { seed: 24, numRuns: 500 })
    fastCheck.assert(fastCheck.property(fastCheck.string({ unit: 'binary' }), (value) =>
      directory.decode({ key: 'i-1', value, version: 1 }) === undefined), { seed: 24, numRuns: 500 })
  })
})
