// Stand-ins of a service whose primary may crash and be replaced, as PROTOCOL.md describes them.
import { once } from 'node:events'
import { createServer } from 'node:net'
import { readLines, splitWords } from './lines.mjs'

const pause = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

/**
 * Starts the backends of a service, the primary first. `onRole` is called with a backend whose role changes, `onCommit`
 * with `{ backend, ids, term, number }`. A commit is in the log of its backend when it is answered.
 */
export async function startGroup ({
  service, backends, slots = 3, maxConnections = 23, workMs = 6, lagMs = 60, promoteMs = 300,
  onRole = () => {}, onRun = () => {}, onCommit = () => {}
}) {
  const members = backends.map((backend, index) => ({
    ...backend, role: index === 0 ? 'primary' : 'replica', term: 1, log: [], isUp: true, running: 0, waiting: [], sockets: new Set()
  }))
  /** Backends in the order in which they were promoted, with the time at which it took effect. */
  const promotions = []
  const positionOf = ({ log, term }) => `${log.at(-1)?.term ?? term}.${log.length}`
  const newest = () => [...members].sort((left, right) => right.term - left.term).find(({ role }) => role === 'primary')

  const follow = (replica, primary) => {
    replica.term = primary.term
    replica.log = [...primary.log]
  }
  const replicate = (primary) => members.filter((member) => member !== primary).forEach((replica) => setTimeout(() => {
    const mayReceive = replica.isUp && replica.role === 'replica' && replica.term <= primary.term
    if (mayReceive && primary.isUp && primary.role === 'primary' && primary === newest()) {
      follow(replica, primary)
    }
  }, lagMs))
  const commit = (backend, ids) => {
    if (ids.length > 0) {
      backend.log.push({ term: backend.term, ids })
      onCommit({ backend: backend.id, ids, term: backend.term, number: backend.log.length })
      replicate(backend)
    }
  }
  const stepDown = (backend) => {
    if (backend.role === 'primary') {
      backend.role = 'replica'
      onRole(backend)
    }
  }
  const becomePrimary = (backend) => {
    if (!backend.isUp || backend.role === 'primary') {
      return
    }
    backend.term = Math.max(...members.map(({ term }) => term)) + 1
    backend.role = 'primary'
    promotions.push({ id: backend.id, term: backend.term, at: performance.now() })
    onRole(backend)
    for (const other of members.filter((member) => member !== backend)) {
      // A primary that is replaced goes on until a second after it can reach the new one.
      setTimeout(() => {
        if (other.isUp && backend.isUp && other.term < backend.term) {
          stepDown(other)
          follow(other, backend)
        }
      }, other.role === 'primary' ? 1000 : lagMs)
    }
  }
  const serve = (socket, backend) => {
    let started = false
    let state = 'I'
    let isReading = false
    let writes = []
    const prepared = new Map()
    const answer = (lines) => socket.writable &&
      socket.write([...lines, `READY ${state} ${positionOf(backend)}`].map((line) => `${line}\r\n`).join(''), 'latin1')
    const fail = (code) => {
      state = state === 'I' ? 'I' : 'E'
      answer([`ERR ${code} ${backend.id}`])
    }
    const useSlot = async () => {
      while (backend.running >= slots) {
        await new Promise((resolve) => backend.waiting.push(resolve))
      }
      backend.running++
      await pause(workMs)
      backend.running--
      backend.waiting.shift()?.()
    }
    const isRefused = (isWrite) => backend.role !== 'primary' && (isWrite || (state === 'T' && !isReading))
    const runData = async (id, text, isWrite, thing) => {
      if (isRefused(isWrite)) {
        fail('READONLY')
        return
      }
      onRun({ backend: backend.id, id, text })
      await useSlot()
      if (!backend.isUp || isRefused(isWrite)) {
        fail('READONLY')
        return
      }
      if (isWrite) {
        state === 'T' ? writes.push(id) : commit(backend, [id])
      }
      answer([...(isWrite ? [] : [`ROW ${thing}`]), `DONE s.${id}`])
    }
    const run = async (id, text) => {
      const [verb, first = '', rest = ''] = splitWords(text, 3)
      if (verb === 'AFTER') {
        const [term, number] = first.split('.').map(Number)
        const last = backend.log.at(-1)?.term ?? backend.term
        Math.max(last, backend.term) < term || (last <= term && backend.log.length < number) ? fail('LAGGING') : await run(id, rest)
      } else if (verb === 'READ' || verb === 'WRITE') {
        await runData(id, text, verb === 'WRITE', first)
      } else if (verb === 'PREPARE') {
        prepared.set(first, rest)
        answer(['DONE -'])
      } else if (verb === 'EXEC') {
        prepared.has(first) ? await runData(id, text, prepared.get(first).startsWith('WRITE'), rest) : fail('NOSTMT')
      } else if (verb === 'BEGIN') {
        isReading = first === 'READ'
        if (!isReading && backend.role !== 'primary') {
          fail('READONLY')
        } else {
          state = 'T'
          writes = []
          answer(['DONE -'])
        }
      } else if (verb === 'COMMIT') {
        if (writes.length > 0 && backend.role !== 'primary') {
          fail('READONLY')
          return
        }
        onRun({ backend: backend.id, id, text })
        await useSlot()
        commit(backend, writes.splice(0))
        state = 'I'
        answer([`DONE s.${id}`])
      } else if (verb === 'STATUS' || verb === 'DEMOTE') {
        verb === 'DEMOTE' && Number(first) > backend.term && stepDown(backend)
        const { role, term, running, sockets } = backend
        answer([`ROW ${role} ${term} ${positionOf(backend)} 0 ${role === 'primary' ? 0 : lagMs} ${running} ${sockets.size}`, 'DONE -'])
      } else {
        if (verb === 'ROLLBACK') {
          state = 'I'
          writes = []
        }
        answer(['DONE -'])
      }
    }
    readLines(socket, (line) => {
      if (!started) {
        const [verb, wanted, , expected = backend.id] = line.split(' ')
        started = verb === 'START' && wanted === service && expected === backend.id
        const refusal = !started ? 'MISROUTED' : backend.sockets.size > maxConnections ? 'TOOMANY' : undefined
        refusal === undefined ? setTimeout(() => answer([]), 12) : socket.end(`ERR ${refusal} ${backend.id}\r\n`)
        return
      }
      const [verb, id = '', text = ''] = splitWords(line, 3)
      verb === 'BYE' ? socket.end() : run(id, text)
    })
  }
  const servers = []
  for (const backend of members) {
    const server = createServer({ noDelay: true }, (socket) => {
      socket.on('error', () => {})
      if (!backend.isUp) {
        socket.resetAndDestroy()
        return
      }
      backend.sockets.add(socket)
      socket.once('close', () => backend.sockets.delete(socket))
      serve(socket, backend)
    })
    server.listen(backend.port, backend.address)
    await once(server, 'listening')
    servers.push(server)
  }
  return {
    members,
    promotions,
    /** Carries out an order to promote; returns the status of the platform's answer. */
    promote: (id) => {
      const backend = members.find((member) => member.id === id)
      if (backend?.isUp !== true) {
        return 409
      }
      backend.role === 'primary' || setTimeout(() => becomePrimary(backend), promoteMs)
      return 200
    },
    /** Crashes a backend; it comes back with its log, as a replica if another one was promoted. */
    crash: async (backend, forMs) => {
      backend.isUp = false
      backend.sockets.forEach((socket) => socket.resetAndDestroy())
      await pause(forMs)
      const leader = newest()
      backend.isUp = true
      if (leader !== undefined && leader !== backend && leader.term > backend.term) {
        stepDown(backend)
        follow(backend, leader)
      }
      onRole(backend)
    },
    close: () => {
      servers.forEach((server) => server.close())
      members.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()))
    }
  }
}
