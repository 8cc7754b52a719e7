// Stand-ins of one service's backends, as PROTOCOL.md describes them: a primary, and replicas that follow its log.
import { once } from 'node:events'
import { createServer } from 'node:net'
import { readLines, splitWords } from './lines.mjs'

const pause = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))
const TERM = 1

/**
 * Starts the backends of a service. None of them fails here, so no promote is needed.
 *
 * @param options.backends `[{ id, address, port }]`, the primary first
 * @param options.onRun called with `{ backend, id, text, values }` when a backend runs a statement with an id of a client
 * @param options.rowsOf returns the rows of a read of a thing, or their encoded lines in a buffer
 */
export async function startService ({
  service, backends, slots = 3, maxConnections = 40, workMs = 10, lagMs = 20, onRun = () => {},
  rowsOf = (thing) => [thing]
}) {
  /** Times of the commits, and the ids of the writes in them. */
  const log = []
  const sockets = new Set()
  const servers = []

  const serve = (socket, backend, isPrimary, state) => {
    let started = false
    let transaction = 'I'
    let writes = []
    const prepared = new Map()
    const values = new Map()
    const send = (lines) => socket.write(lines.map((line) => `${line}\r\n`).join(''), 'latin1')
    const held = () => isPrimary ? log.length : log.filter(({ at }) => at <= performance.now() - lagMs).length
    const answer = (lines) => send([...lines, `READY ${transaction} ${TERM}.${held()}`])
    const useSlot = async (work) => {
      while (state.running >= slots) {
        await new Promise((resolve) => state.waiting.push(resolve))
      }
      state.running++
      await pause(work)
      state.running--
      state.waiting.shift()?.()
    }
    const commit = (ids) => { ids.length > 0 && log.push({ at: performance.now(), ids }) }
    const runData = async (id, text, isWrite, thing) => {
      if (isWrite && !isPrimary) {
        answer([`ERR READONLY ${backend.id}`])
        return
      }
      onRun({ backend: backend.id, id, text, values: Object.fromEntries(values) })
      await useSlot(workMs)
      if (isWrite) {
        transaction === 'T' ? writes.push(id) : commit([id])
      }
      const rows = isWrite ? [] : rowsOf(thing)
      if (Buffer.isBuffer(rows)) {
        socket.write(rows)
        answer([`DONE s.${id}`])
      } else {
        answer([...rows.map((row) => `ROW ${row}`), `DONE s.${id}`])
      }
    }
    const run = async (id, text) => {
      const [verb, first = '', rest = ''] = splitWords(text, 3)
      if (verb === 'AFTER') {
        Number(first.split('.')[1]) > held() ? answer([`ERR LAGGING ${backend.id}`]) : await run(id, rest)
      } else if (verb === 'READ' || verb === 'WRITE') {
        await runData(id, text, verb === 'WRITE', first)
      } else if (verb === 'PREPARE') {
        prepared.set(first, rest)
        answer(['DONE -'])
      } else if (verb === 'EXEC') {
        prepared.has(first)
          ? await runData(id, text, prepared.get(first).startsWith('WRITE'), splitWords(rest, 2)[0])
          : answer([`ERR NOSTMT ${first}`])
      } else if (verb === 'BEGIN') {
        const refused = first !== 'READ' && !isPrimary
        transaction = refused ? 'I' : 'T'
        writes = []
        answer([refused ? `ERR READONLY ${backend.id}` : 'DONE -'])
      } else if (verb === 'COMMIT') {
        onRun({ backend: backend.id, id, text, values: Object.fromEntries(values) })
        await useSlot(workMs)
        commit(writes)
        transaction = 'I'
        answer([`DONE s.${id}`])
      } else if (verb === 'ROLLBACK') {
        transaction = 'I'
        answer(['DONE -'])
      } else if (verb === 'STATUS') {
        const role = isPrimary ? 'primary' : 'replica'
        answer([`ROW ${role} ${TERM} ${TERM}.${held()} ${isPrimary ? 0 : lagMs} ${state.running} ${sockets.size}`, 'DONE -'])
      } else {
        verb === 'SET' && values.set(first, rest)
        if (verb === 'RESET') {
          prepared.clear()
          values.clear()
        }
        verb === 'DEALLOC' && prepared.delete(first)
        answer(['DONE -'])
      }
    }
    readLines(socket, (line) => {
      if (!started) {
        const [verb, wanted, , expected = backend.id] = line.split(' ')
        started = verb === 'START' && wanted === service && expected === backend.id
        const refusal = !started ? 'MISROUTED' : state.connections > maxConnections ? 'TOOMANY' : undefined
        refusal === undefined ? setTimeout(() => answer([]), 12) : socket.end(`ERR ${refusal} ${backend.id}\r\n`)
        return
      }
      const [verb, id = '', text = ''] = splitWords(line, 3)
      verb === 'BYE' ? socket.end() : run(id, text)
    })
  }
  for (const [index, backend] of backends.entries()) {
    const state = { running: 0, waiting: [], connections: 0 }
    const server = createServer({ noDelay: true }, (socket) => {
      sockets.add(socket)
      state.connections++
      socket.once('close', () => {
        sockets.delete(socket)
        state.connections--
      })
      socket.on('error', () => {})
      serve(socket, backend, index === 0, state)
    })
    server.listen(backend.port, backend.address)
    await once(server, 'listening')
    servers.push(server)
  }
  return {
    log,
    close: () => {
      servers.forEach((server) => server.close())
      sockets.forEach((socket) => socket.destroy())
    }
  }
}
