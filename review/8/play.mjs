// A client that changes a session value inside its transaction, after the last statement before the commit.
import { writeFileSync } from 'node:fs'
import { openSession } from '../lib-2/client.mjs'
import { startService } from '../lib-2/backends.mjs'
import { awaitReady, BACKEND, CALLERS, freeNetwork, startHost, STORE } from '../lib-2/entry.mjs'
import { startPlatform } from '../lib-2/platform.mjs'

const TRANSACTIONS = 10
const hasTrouble = process.env.TROUBLE !== '0'
const startedAt = performance.now()
const lines = []
const stop = []
const record = (text) => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`)
const finish = (code, verdict) => {
  record(verdict)
  writeFileSync(new URL('record.txt', import.meta.url), lines.join('\n') + '\n')
  process.stdout.write(`${verdict}\n`)
  stop.forEach((close) => close())
  process.exit(code)
}

const network = await freeNetwork()
const store = `${network}.2`
const platform = await startPlatform({ address: store, storePort: STORE, promotionPort: STORE + 100, promote: () => 200 })
stop.push(platform.close)
platform.put('op', 'config', {
  version: 1,
  routes: [{ name: 'r', host: 'money', type: 'primary', 'timeout-ms': 800, 'target-latency-ms': 150, priority: 1, service: 'g' }],
  services: [{ name: 'g', 'max-connections': 23 }],
  limits: { 'tx-idle-ms': 3000 }
})
const zones = ['a', 'b', 'c']
const backends = zones.map((zone, place) => ({ id: `i-${zone}`, address: `${network}.${100 + place}`, port: BACKEND, zone }))
/** Values acknowledged to the client, and the statements that ran with others. */
const acknowledged = {}
const wrong = []
const { close } = await startService({
  service: 'g',
  backends,
  onRun: ({ backend, id, text, values }) => {
    const [found, expected] = [JSON.stringify(values), JSON.stringify(acknowledged)]
    record(`${id} runs at ${backend}: ${text}, values ${found}, acknowledged ${expected}`)
    found === expected || wrong.push(`${text} of ${id} ran with ${found} in place of ${expected}`)
  }
})
stop.push(close)
backends.forEach(({ id, address, port, zone }, place) => platform.put('servers', id, {
  service: 'g',
  address: `${address}:${port}`,
  zone,
  version: 'v1',
  slots: 3,
  state: 'ready',
  'cold-remaining-ms': 0,
  sequence: 1,
  'db-role': place === 0 ? 'primary' : 'replica'
}))
const host = startHost({ name: 'front-1', address: `${network}.10`, zone: 'a', store })
stop.push(host.stop)
if (!await awaitReady([host])) {
  finish(2, 'the host did not become ready')
}
const session = await openSession({ host: host.address, port: CALLERS, database: 'money' })
if (session === undefined) {
  finish(2, 'the session did not start')
}
let nextId = 1
const query = async (text) => {
  const id = `id${nextId++}`
  const { result, state, signature = '' } = await session.query(id, text)
  record(`${id} ${text}: ${result} ${signature} ${state}`)
  return result === 'DONE'
}
const set = async (value) => {
  if (await query(`SET stage ${value}`)) {
    acknowledged.stage = value
  }
}
for (let number = 1; number <= TRANSACTIONS; number++) {
  await query('BEGIN')
  await set(`write-${number}`)
  hasTrouble || await set(`commit-${number}`)
  await query(`WRITE t${number} x`)
  hasTrouble && await set(`commit-${number}`)
  await query('COMMIT')
}
wrong.forEach(record)
wrong.length > 0
  ? finish(1, `PINNED: ${wrong.length} statements ran where the session values are not those acknowledged to their client`)
  : finish(0, 'held')
