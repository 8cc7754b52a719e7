/**
 * Stand-in of a database service: backends with one log, of which one is the primary, as PROTOCOL.md tells them. The
 * primary sends each commit to its replicas, which apply it later. With `sync-replicas` 1 the answer to a commit comes
 * once one replica has received it.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'
import { pause } from './network.mjs'
import { attachLines, splitWords } from './wire.mjs'

const HEARTBEAT_MS = 1200
/** A row disappears after three liveness reports without a write. */
const LAPSE_MS = 3 * HEARTBEAT_MS
const NETWORK_MS = 2
const SHIP_AGAIN_MS = 20
const APPLY_MS = 60
const PROMOTE_MS = 300
const HANDSHAKE_MS = 12
const WRITE_MS = 6
const READ_MS = 10
const SLOTS = 3
const QUEUE = 24
/** A backend that has told that it drains serves for `drain-ms` and a little more. */
const DRAIN_MS = 7000 + 1000

/** Slots of a backend, taken in the order of arrival; `enter` resolves to false when the queue is full. */
function createSlots () {
  const waiting = []
  let busy = 0
  const leave = () => {
    const next = waiting.shift()
    next === undefined ? busy-- : next(true)
  }
  return {
    get busy () { return busy },
    hold: async (durationMs) => {
      if (busy < SLOTS) {
        busy++
      } else if (waiting.length >= QUEUE) {
        return false
      } else {
        await new Promise((resolve) => waiting.push(resolve))
      }
      await pause(durationMs)
      leave()
      return true
    }
  }
}

/** One backend of a service. */
class Backend {
  constructor (service, { id, address, port, zone, role, log = [] }) {
    Object.assign(this, { service, id, address, port, zone, role, log })
    this.term = 1
    this.applied = log.length
    this.state = 'ready'
    this.isDown = false
    this.isDeaf = false
    this.sequence = 0
    this.sockets = new Set()
    this.slots = createSlots()
    this.lastWriteAt = performance.now()
  }

  get isPrimary () { return this.role === 'primary' }
  get received () { return `${this.term}.${this.log.length}` }
  get position () { return `${this.term}.${this.isPrimary ? this.log.length : this.applied}` }

  async listen () {
    this.server = createServer({ noDelay: true }, (socket) => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
      socket.on('error', () => {})
      serveConnection(this, socket)
    })
    this.server.listen(this.port, this.address)
    await once(this.server, 'listening')
    this.heartbeat = setInterval(() => this.report(), HEARTBEAT_MS)
    this.report()
  }

  /** Writes the entry of this backend into the platform's store. */
  report () {
    if (this.isDown) {
      return
    }
    clearTimeout(this.lapse)
    this.service.platform.put('servers', this.id, {
      service: this.service.name,
      address: `${this.address}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: SLOTS,
      state: this.state,
      'cold-remaining-ms': 0,
      'db-role': this.role,
      sequence: this.sequence++
    })
  }

  /** Applies what was received, after the usual lag. */
  receive (log, term) {
    if (this.isDown || this.isDeaf || this.isPrimary || term < this.term) {
      return
    }
    this.term = term
    this.log = log.slice()
    this.applied = Math.min(this.applied, this.log.length)
    setTimeout(() => { this.applied = Math.max(this.applied, Math.min(log.length, this.log.length)) }, APPLY_MS)
  }

  /** Whether the log, as far as it is applied, contains a position. */
  contains (position) {
    const [term, number] = position.split('.').map(Number)
    const [ownTerm, ownNumber] = this.position.split('.').map(Number)
    return ownTerm > term || (ownTerm === term && ownNumber >= number)
  }

  /** Ends without a word; the entry lapses later. */
  crash () {
    this.isDown = true
    clearInterval(this.heartbeat)
    this.server.close()
    this.sockets.forEach((socket) => socket.destroy())
    this.lapse = setTimeout(() => this.service.platform.remove('servers', this.id), LAPSE_MS)
  }

  /** Starts again with its log, as a replica if another one was promoted. */
  async restart () {
    this.isDown = false
    const primary = this.service.backends.find((other) => other !== this && other.isPrimary && other.term > this.term)
    this.role = primary === undefined ? this.role : 'replica'
    await this.listen()
    primary && this.receive(primary.log, primary.term)
  }

  /** Ends in order. */
  end () {
    this.isDown = true
    clearInterval(this.heartbeat)
    clearTimeout(this.lapse)
    this.server.close()
    this.sockets.forEach((socket) => socket.destroy())
    this.service.platform.remove('servers', this.id)
  }
}

const isData = (verb) => verb === 'READ' || verb === 'WRITE'

function serveConnection (backend, socket) {
  const { service } = backend
  const values = new Map()
  const prepared = new Map()
  let state = 'I'
  let writes = []
  let isPlain = false
  let isStarted = false

  const answer = (lines) => send([...lines, `READY ${state} ${backend.position}`])
  const refuse = (code) => answer([`ERR ${code} ${backend.id}`])
  const rowsOf = (thing) => {
    const visible = backend.isPrimary ? backend.log.length : backend.applied
    const entry = backend.log.slice(0, visible).flat().findLast((write) => write.thing === thing)
    return entry === undefined ? [] : [`ROW ${entry.data}`]
  }
  /** Commits writes; resolves to false when this backend does not lead any more. */
  const commit = async (committed) => committed.length === 0 || await service.commit(backend, committed)
  const run = async (id, verb, thing, data) => {
    service.onRun({ backend: backend.id, id, verb, thing })
    if (verb === 'READ') {
      answer([...rowsOf(thing), `DONE s.${id}`])
    } else if (state === 'T') {
      writes.push({ id, thing, data })
      answer([`DONE s.${id}`])
    } else if (await commit([{ id, thing, data }])) {
      answer([`DONE s.${id}`])
    } else {
      refuse('READONLY')
    }
  }
  const serveData = async (id, verb, thing, data) => {
    if (!backend.isPrimary && (verb === 'WRITE' || (state === 'T' && isPlain))) {
      refuse('READONLY')
    } else if (await backend.slots.hold(verb === 'WRITE' ? WRITE_MS : READ_MS)) {
      await run(id, verb, thing, data)
    } else {
      refuse('BUSY')
    }
  }
  const report = () => answer([
    `ROW ${backend.role} ${backend.term} ${backend.received} 0 0 ${backend.slots.busy} ${backend.sockets.size}`, 'DONE -'
  ])
  const handlers = {
    STATUS: async () => await backend.slots.hold(1) ? report() : refuse('BUSY'),
    DEMOTE: (_id, [term]) => {
      if (backend.isPrimary && backend.term < Number(term)) {
        backend.role = 'replica'
        backend.report()
      }
      report()
    },
    BEGIN: (_id, [kind]) => {
      isPlain = kind !== 'READ'
      if (isPlain && !backend.isPrimary) {
        refuse('READONLY')
        return
      }
      state = 'T'
      writes = []
      answer(['DONE -'])
    },
    COMMIT: async (id) => {
      const committed = writes.splice(0)
      state = 'I'
      service.onRun({ backend: backend.id, id, verb: 'COMMIT' })
      const isDone = await backend.slots.hold(1) && await commit(committed)
      isDone ? answer([`DONE s.${id}`]) : refuse('READONLY')
    },
    ROLLBACK: () => {
      state = 'I'
      writes = []
      answer(['DONE -'])
    },
    SET: (_id, [name, value]) => {
      values.set(name, value)
      answer(['DONE -'])
    },
    PREPARE: (_id, [name, verb]) => {
      prepared.set(name, verb)
      answer(['DONE -'])
    },
    DEALLOC: (_id, [name]) => {
      prepared.delete(name)
      answer(['DONE -'])
    },
    RESET: () => {
      values.clear()
      prepared.clear()
      answer(['DONE -'])
    }
  }
  const serveText = async (id, text) => {
    const [verb, ...words] = splitWords(text, 3)
    if (verb === 'AFTER') {
      backend.contains(words[0]) ? await serveText(id, words[1]) : refuse('LAGGING')
    } else if (isData(verb)) {
      await serveData(id, verb, words[0], words[1] ?? '')
    } else if (verb === 'EXEC') {
      const [thing, data = ''] = splitWords(words[1] ?? '', 2)
      prepared.has(words[0]) ? await serveData(id, prepared.get(words[0]), thing, data) : refuse('NOSTMT')
    } else {
      await (Object.hasOwn(handlers, verb) ? handlers[verb](id, words) : refuse('MALFORMED'))
    }
  }
  const start = async ([, wanted, , id]) => {
    if (wanted !== service.name || (id ?? backend.id) !== backend.id) {
      send([`ERR MISROUTED ${backend.id}`])
      socket.end()
      return
    }
    isStarted = true
    await backend.slots.hold(HANDSHAKE_MS) ? answer([]) : refuse('BUSY')
  }
  const send = attachLines(socket, (line) => {
    if (!isStarted) {
      start(line.split(' ')).catch(() => socket.destroy())
      return
    }
    const [, id, text] = splitWords(line, 3)
    serveText(id, text).catch(() => socket.destroy())
  })
}

/**
 * Starts a service with its backends, the first one the primary.
 *
 * @param name - name of the service
 * @param platform - stand-in of the platform
 * @param hosts - id, address, port and zone of each backend
 * @param syncReplicas - replicas that must have received a commit before it is answered: 0 or 1
 * @param onRun - called with each statement of a client that runs
 * @param onPromoted - called when a promotion takes effect, with the backend
 */
export async function startDatabase ({ name, platform, hosts, syncReplicas, onRun, onPromoted }) {
  const service = { name, platform, onRun, backends: [] }
  service.backends = hosts.map((host, index) =>
    new Backend(service, { ...host, role: index === 0 ? 'primary' : 'replica' }))
  const followers = (primary) => service.backends.filter((other) => other !== primary && !other.isPrimary)
  /** Sends the log of a primary to a replica; resolves when the replica has received it. */
  const ship = async (primary, replica) => {
    const log = primary.log.slice()
    await pause(NETWORK_MS)
    if (!primary.isDown && primary.isPrimary) {
      replica.receive(log, primary.term)
    }
    return !replica.isDown && !replica.isDeaf && replica.log.length >= log.length && replica.term === primary.term
  }
  service.commit = async (primary, writes) => {
    if (!primary.isPrimary || primary.isDown) {
      return false
    }
    primary.log = [...primary.log, writes]
    const number = primary.log.length
    const shipToAll = async () =>
      (await Promise.all(followers(primary).map(async (replica) => await ship(primary, replica)))).filter(Boolean).length
    for (let received = await shipToAll(); received < syncReplicas; received = await shipToAll()) {
      if (primary.isDown || !primary.isPrimary) {
        return false
      }
      await pause(SHIP_AGAIN_MS)
    }
    await pause(NETWORK_MS)
    return primary.isPrimary && !primary.isDown && primary.log.length >= number
  }
  const lead = (backend) => {
    if (backend.isDown || backend.isPrimary) {
      return
    }
    backend.term = Math.max(...service.backends.map(({ term }) => term)) + 1
    backend.role = 'primary'
    backend.applied = backend.log.length
    backend.report()
    onPromoted(backend)
    followers(backend).forEach((replica) => replica.receive(backend.log, backend.term))
    const former = service.backends.filter((other) => other !== backend && other.isPrimary && !other.isDown)
    setTimeout(() => former.forEach((other) => {
      other.role = 'replica'
      other.report()
      other.receive(backend.log, backend.term)
    }), 1000)
  }
  await Promise.all(service.backends.map(async (backend) => await backend.listen()))
  return {
    get backends () { return service.backends },
    /** Takes an order to promote; returns the status of the answer. */
    promote: (id) => {
      const backend = service.backends.find((candidate) => candidate.id === id)
      if (backend === undefined || backend.isDown) {
        return 409
      }
      setTimeout(() => lead(backend), PROMOTE_MS)
      return 200
    },
    /** Makes a replica receive nothing for a time. */
    deafen: (backend, durationMs) => {
      backend.isDeaf = true
      return setTimeout(() => {
        backend.isDeaf = false
        const primary = service.backends.find((other) => other.isPrimary && !other.isDown)
        primary !== undefined && primary !== backend && backend.receive(primary.log, primary.term)
      }, durationMs)
    },
    /** Replaces a backend: it drains and ends; its log passes to a new one at its address. */
    replace: (backend, newId) => {
      backend.state = 'draining'
      backend.report()
      return setTimeout(() => {
        backend.end()
        const { address, port, zone, role, log, term } = backend
        const successor = new Backend(service, { id: newId, address, port, zone, role, log })
        successor.term = term
        service.backends = service.backends.map((other) => other === backend ? successor : other)
        successor.listen()
      }, DRAIN_MS)
    },
    close: () => service.backends.forEach((backend) => {
      clearInterval(backend.heartbeat)
      clearTimeout(backend.lapse)
      backend.isDown = true
      backend.server.close()
      backend.sockets.forEach((socket) => socket.destroy())
    })
  }
}
