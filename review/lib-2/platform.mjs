// Stand-ins of the platform: the metadata store and the promotion service, as PROTOCOL.md describes them.
import { once } from 'node:events'
import { createServer } from 'node:http'

const nameOf = (table, key) => `${table}\n${key}`

/** Rows of the store with their history; versions come from one counter. */
function createRows () {
  const history = []
  const current = new Map()
  let version = 0
  let waiting = []
  return {
    get version () { return version },
    versionOf: (table, key) => current.get(nameOf(table, key))?.version ?? 0,
    get: (table, key) => current.get(nameOf(table, key)),
    list: (table) => [...current.values()].filter((row) => row.table === table)
      .sort((left, right) => left.key < right.key ? -1 : 1),
    since: (table, after) => history.filter((row) => row.table === table && row.version > after),
    apply: (changes) => {
      version++
      for (const change of changes) {
        const row = { ...change, version }
        history.push(row)
        row.value === undefined ? current.delete(nameOf(row.table, row.key)) : current.set(nameOf(row.table, row.key), row)
      }
      waiting.splice(0).forEach((notify) => notify())
    },
    waitForChange: async (waitMs) => await new Promise((resolve) => {
      const timer = setTimeout(done, waitMs)
      function done () {
        clearTimeout(timer)
        waiting = waiting.filter((other) => other !== done)
        resolve()
      }
      waiting.push(done)
    })
  }
}

const encodeRow = ({ table, key, value, version }) =>
  ({ table, part: '', 'tls-key': key, ver: version, ...(value === undefined ? { deleted: true } : { value }) })

async function readBody (request) {
  const chunks = []
  for await (const chunk of request) {
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

/**
 * Starts the store and the promotion service. `options.onCall({ path, query, body })` may return `'silent'` (the call
 * is done and never answered), `'hold'` (it is not done and never answered), a status such as 503 (it is not done), or
 * a promise of one of these; otherwise the call is served.
 */
export async function startPlatform ({ address, storePort, promotionPort, answerMs = 4, onCall = () => {}, promote }) {
  const rows = createRows()
  const answerRows = (found) => [200, {
    rows: found.map(encodeRow), ver: rows.version, 'now-ms': Math.round(performance.now()), 'has-more': false
  }]
  const handlers = {
    '/v1/rows-get': async (query) => {
      const from = query.get('from') ?? ''
      const limit = Number(query.get('limit') ?? 500)
      const found = rows.list(query.get('table')).filter(({ key }) => key >= from)
      const [status, answer] = answerRows(found.slice(0, limit))
      return [status, { ...answer, 'has-more': found.length > limit }]
    },
    '/v1/rows-feed': async (query) => {
      const table = query.get('table')
      const after = Number(query.get('after'))
      const until = performance.now() + Math.min(30_000, Number(query.get('wait-ms')))
      while (rows.since(table, after).length === 0 && performance.now() < until) {
        await rows.waitForChange(until - performance.now())
      }
      return answerRows(rows.since(table, after))
    },
    '/v1/rows-tx': async (_query, text) => {
      const body = JSON.parse(text)
      const expected = body['expected-rev'] ?? []
      if (expected.some(({ table, 'tls-key': key, ver }) => rows.versionOf(table, key) !== ver)) {
        const found = expected.map(({ table, 'tls-key': key }) => rows.get(table, key)).filter((row) => row !== undefined)
        return [412, { rows: found.map(encodeRow), ver: rows.version, 'now-ms': Math.round(performance.now()) }]
      }
      rows.apply([
        ...(body['set-keys'] ?? []).map(({ table, 'tls-key': key, value }) => ({ table, key, value })),
        ...(body.remove ?? []).map(({ table, 'tls-key': key }) => ({ table, key }))
      ])
      return [200, { ver: rows.version, 'now-ms': Math.round(performance.now()) }]
    },
    '/promote': async (_query, text, headers) => {
      const { service, id } = JSON.parse(text)
      return [promote({ service, id, holder: headers['x-duty-holder'], fence: Number(headers['x-fence-token']) }), {}]
    }
  }
  const serve = async (request, response) => {
    const url = new URL(request.url, 'http://store')
    const body = await readBody(request)
    const verdict = await onCall({ path: url.pathname, query: url.searchParams, body, from: request.socket.remoteAddress })
    if (verdict === 'hold') {
      return
    }
    await new Promise((resolve) => setTimeout(resolve, answerMs))
    const [status, answer] = typeof verdict === 'number'
      ? [verdict, {}]
      : await handlers[url.pathname](url.searchParams, body, request.headers)
    if (verdict !== 'silent') {
      response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(answer))
    }
  }
  const servers = [[storePort, address], [promotionPort, address]].map(([port, host]) => {
    const server = createServer((request, response) => serve(request, response).catch(() => response.destroy()))
    server.keepAliveTimeout = 60_000
    server.listen(port, host)
    return server
  })
  await Promise.all(servers.map(async (server) => await once(server, 'listening')))
  return {
    rows,
    put: (table, key, value) =>
      rows.apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }]),
    remove: (table, key) => rows.apply([{ table, key }]),
    close: () => servers.forEach((server) => {
      server.close()
      server.closeAllConnections()
    })
  }
}
