/** Stand-in of the platform's store and of its call to promote, as PROTOCOL.md tells them. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { pause } from './network.mjs'

const ANSWER_MS = 4
const TRANSACTION_MS = 8

async function readBody (request) {
  const chunks = []
  for await (const chunk of request) {
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

/** Rows with their history. */
function createRows () {
  const history = []
  const current = new Map()
  let version = 0
  let waiting = []
  const nameOf = (table, key) => `${table}\n${key}`
  return {
    get version () { return version },
    versionOf: (table, key) => current.get(nameOf(table, key))?.version ?? 0,
    list: (table) => [...current.values()].filter((row) => row.table === table)
      .sort((left, right) => left.key < right.key ? -1 : 1),
    since: (table, after) => history.filter((row) => row.table === table && row.version > after),
    apply: (changes) => {
      version++
      for (const change of changes) {
        const row = { ...change, version }
        history.push(row)
        const name = nameOf(row.table, row.key)
        row.value === undefined ? current.delete(name) : current.set(name, row)
      }
      waiting.splice(0).forEach((notify) => notify())
    },
    waitForChange: async (waitMs) => {
      let notify
      const changed = new Promise((resolve) => { notify = resolve })
      waiting.push(notify)
      const timer = setTimeout(notify, waitMs)
      await changed
      clearTimeout(timer)
      waiting = waiting.filter((other) => other !== notify)
    }
  }
}

function encodeRow ({ table, key, value, version }) {
  return { table, part: '', 'tls-key': key, ver: version, ...value === undefined ? { deleted: true } : { value } }
}

/**
 * Starts the store and the call to promote.
 *
 * @param address - loopback address
 * @param storePort - port of the store
 * @param promotionPort - port of the call to promote
 * @param onPromote - takes service, id, holder and fence, and returns the status of the answer
 */
export async function startPlatform ({ address, storePort, promotionPort, onPromote }) {
  const rows = createRows()
  const answerRows = (found) =>
    [200, { rows: found.map(encodeRow), 'has-more': false, ver: rows.version, 'now-ms': Math.round(performance.now()) }]
  const write = (body) => {
    const identify = ({ table, 'tls-key': key }) => ({ table, key })
    const expected = body['expected-rev'] ?? []
    if (!expected.every(({ table, 'tls-key': key, ver }) => rows.versionOf(table, key) === ver)) {
      return [412, answerRows(expected.flatMap(({ table, 'tls-key': key }) =>
        rows.list(table).filter((row) => row.key === key)))[1]]
    }
    rows.apply([
      ...(body['set-keys'] ?? []).map((row) => ({ ...identify(row), value: row.value })),
      ...(body.remove ?? []).map(identify)
    ])
    return [200, { ver: rows.version, 'now-ms': Math.round(performance.now()) }]
  }
  const handlers = {
    'GET /v1/rows-get': async (query) => {
      await pause(ANSWER_MS)
      return answerRows(rows.list(query.get('table')))
    },
    'GET /v1/rows-feed': async (query) => {
      await pause(ANSWER_MS)
      const [table, after] = [query.get('table'), Number(query.get('after'))]
      const until = performance.now() + Number(query.get('wait-ms'))
      while (rows.since(table, after).length === 0 && performance.now() < until) {
        await rows.waitForChange(until - performance.now())
      }
      return answerRows(rows.since(table, after))
    },
    'POST /v1/rows-tx': async (_query, body) => {
      await pause(TRANSACTION_MS)
      return write(JSON.parse(body))
    },
    'POST /promote': async (_query, body, headers) => {
      await pause(ANSWER_MS)
      const { service, id } = JSON.parse(body)
      return [onPromote(service, id, headers['x-duty-holder'], Number(headers['x-fence-token'])), {}]
    }
  }
  const serve = async (request, response) => {
    const url = new URL(request.url, 'http://platform')
    const body = await readBody(request)
    const handle = handlers[`${request.method} ${url.pathname}`]
    const [status, answer] = handle === undefined
      ? [404, {}]
      : await handle(url.searchParams, body, request.headers)
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(answer))
  }
  const servers = [storePort, promotionPort].map((port) =>
    createServer((request, response) => { serve(request, response).catch(() => response.destroy()) })
      .listen(port, address))
  await Promise.all(servers.map(async (server) => await once(server, 'listening')))
  const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64')
  return {
    /** Writes a row as the operator or a backend does. */
    put: (table, key, value) => rows.apply([{ table, key, value: encode(value) }]),
    remove: (table, key) => rows.apply([{ table, key }]),
    close: () => servers.forEach((server) => {
      server.close()
      server.closeAllConnections()
    })
  }
}
