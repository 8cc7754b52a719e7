/** Connections of this host to one upstream. */
import { RequestError } from '../../core/errors/index.ts'
import type { UpstreamPort, UpstreamTarget } from '../ports/index.ts'
import { mismatchOf } from './align-connection.ts'
import type { ConnectionLimits } from './connection-limits.ts'
import type { ConnectionLease, LeaseRequest, PooledConnection, PoolEvents, UpstreamFault } from './types.ts'

/** Time to connect, in milliseconds: a new connection takes 12 ms, more while the upstream's slots are taken. */
const CONNECT_TIMEOUT_MS = 700
/** Time for which no further connection is tried after the upstream had no room, in milliseconds. */
const FULL_PAUSE_MS = 150
/** Time after which an idle connection beyond those that are kept is closed, in milliseconds. */
const SURPLUS_IDLE_MS = 1500
/**
 * The same where organisations share the upstream, in milliseconds: no other one's connection can take its place, so
 * that one which comes back after some seconds would have to open it anew. With 17 organisations 686 connections were
 * opened for 2,377 requests, 958 with {@link SURPLUS_IDLE_MS}.
 */
const SURPLUS_IDLE_SHARED_MS = 10_000
/** Time between two looks for surplus connections, in milliseconds. */
const TRIM_MS = 1000

/** Options of {@link createUpstreamPool}. */
interface UpstreamPoolOptions {
  target: UpstreamTarget
  port: UpstreamPort
  /** Connections that this host may have; asked whenever one is opened or closed. */
  limits: () => ConnectionLimits
  events: PoolEvents
}

/** Someone who waits for a connection. */
interface Waiter {
  request: LeaseRequest
  resolve: (lease: ConnectionLease) => void
  reject: (error: RequestError) => void
  timer: NodeJS.Timeout
}

/** Connections of this host to one upstream. */
export interface UpstreamPool {
  readonly target: UpstreamTarget
  /** Statements and transactions that hold a connection. */
  readonly inUse: number
  readonly waiting: number
  /** Open connections, those being opened included. */
  readonly size: number
  /** Whether a new user would get a connection at once, opening one included. */
  readonly hasRoom: boolean
  /**
   * Takes a connection.
   *
   * @param request - what the user needs
   * @returns the lease
   * @throws RequestError with verdict `not-run`
   */
  acquire: (request: LeaseRequest) => Promise<ConnectionLease>
  /** Closes every connection that is in use. */
  abortInUse: () => void
  /** Takes no new users; connections close as they come back. */
  close: () => void
}

/**
 * Creates a pool.
 *
 * @param options - the upstream and the limits
 * @returns the pool
 */
export function createUpstreamPool (options: UpstreamPoolOptions): UpstreamPool {
  const { target, port, events } = options
  const idle: PooledConnection[] = []
  const used = new Set<PooledConnection>()
  const waiters: Waiter[] = []
  /** Connections that are being opened, by organisation. */
  const opening = new Map<string, number>()
  let fullUntil = -Infinity
  let closed = false

  const countOpening = (organisation: string, change: number): void => {
    opening.set(organisation, (opening.get(organisation) ?? 0) + change)
  }
  const openingNow = (): number => [...opening.values()].reduce((sum, count) => sum + count, 0)
  const size = (): number => idle.length + used.size + openingNow()
  const mayOpen = (): boolean => !closed && size() < options.limits().share && performance.now() >= fullUntil

  const lease = (pooled: PooledConnection): ConnectionLease => {
    used.add(pooled)
    let done = false
    const finish = (): boolean => {
      const first = !done
      done = true
      used.delete(pooled)
      return first
    }
    return Object.assign(Object.create(pooled) as ConnectionLease, {
      release: () => {
        if (finish()) {
          putBack(pooled)
        }
      },
      discard: () => {
        if (finish()) {
          pooled.connection.close()
          serveWaiters()
        }
      }
    })
  }
  const putBack = (pooled: PooledConnection): void => {
    if (closed || pooled.connection.closed) {
      pooled.connection.close()
    } else {
      pooled.idleSince = performance.now()
      idle.push(pooled)
    }
    serveWaiters()
  }
  const takeIdle = ({ organisation, values }: LeaseRequest): PooledConnection | undefined => {
    let best = -1
    let leastMismatch = Infinity
    for (let index = idle.length - 1; index >= 0; index--) {
      const pooled = idle[index]!
      const isFit = organisation === undefined || pooled.organisation === organisation
      const mismatch = isFit ? mismatchOf(pooled.values, values) : Infinity
      if (mismatch < leastMismatch) {
        best = index
        leastMismatch = mismatch
      }
    }
    return best < 0 ? undefined : idle.splice(best, 1)[0]
  }
  /** Makes room for a connection of another organisation: the one that has been idle for longest goes. */
  const makeRoom = (): boolean => {
    if (closed || mayOpen()) {
      return !closed
    }
    const [longestIdle] = idle.splice(0, 1)
    longestIdle?.connection.close()
    return longestIdle !== undefined
  }
  const serveWaiters = (): void => {
    for (const waiter of [...waiters]) {
      const ready = takeIdle(waiter.request)
      if (ready !== undefined) {
        waiters.splice(waiters.indexOf(waiter), 1)
        clearTimeout(waiter.timer)
        waiter.resolve(lease(ready))
      }
    }
    for (const organisation of unservedOrganisations()) {
      if (!makeRoom()) {
        return
      }
      void open(organisation)
    }
  }
  /** For whom connections are still to be opened: one for each who waits, less those that are being opened. */
  const unservedOrganisations = (): string[] => {
    const coming = new Map(opening)
    return waiters.flatMap(({ request: { organisation = '' } }) => {
      const left = coming.get(organisation) ?? 0
      coming.set(organisation, left - 1)
      return left > 0 ? [] : [organisation]
    })
  }
  const failWaiters = (error: RequestError): void => {
    for (const waiter of waiters.splice(0)) {
      clearTimeout(waiter.timer)
      waiter.reject(error)
    }
  }
  /** Without any connection, and with room for one, the upstream is hard to reach; otherwise it has too much to do. */
  const waitedTooLong = (waitMs: number): RequestError => {
    const isOutOfReach = idle.length + used.size === 0 && performance.now() >= fullUntil + FULL_PAUSE_MS
    return isOutOfReach
      ? new RequestError('not-run', 'ConnectionLost', { upstream: target.upstream, reason: 'it cannot be reached in time' })
      : new RequestError('not-run', 'Overloaded', {
        group: target.group, reason: `no connection to ${target.upstream} in time`, retryAfterMs: Math.round(waitMs)
      })
  }
  const open = async (organisation: string): Promise<void> => {
    countOpening(organisation, 1)
    try {
      const connection = await port.open(target, { organisation, timeoutMs: CONNECT_TIMEOUT_MS })
      countOpening(organisation, -1)
      events.onAnswer()
      const pooled: PooledConnection = {
        connection, organisation, values: new Map(), prepared: new Map(), idleSince: 0
      }
      connection.onClose(() => {
        const index = idle.indexOf(pooled)
        if (index >= 0) {
          idle.splice(index, 1)
          events.onFault('broken', 'an idle connection was closed')
        }
      })
      putBack(pooled)
    } catch (thrown) {
      countOpening(organisation, -1)
      takeOpenFailure(thrown as RequestError)
    }
  }
  const takeOpenFailure = (error: RequestError): void => {
    if (error.entry === 'UpstreamRefused' && (error.details as { reason: string }).reason !== 'misrouted') {
      fullUntil = performance.now() + FULL_PAUSE_MS
      setTimeout(serveWaiters, FULL_PAUSE_MS)
      return
    }
    events.onFault(faultOf(error), error.message)
    failWaiters(error)
  }
  const trim = setInterval(() => {
    const now = performance.now()
    const isShared = new Set([...idle, ...used].map(({ organisation }) => organisation)).size > 1
    const surplusMs = isShared ? SURPLUS_IDLE_SHARED_MS : SURPLUS_IDLE_MS
    while (size() > options.limits().kept && idle.length > 0 && now - idle[0]!.idleSince > surplusMs) {
      const [surplus] = idle.splice(0, 1)
      surplus!.connection.close()
    }
    serveWaiters()
  }, TRIM_MS)
  trim.unref()

  return {
    target,
    get inUse () { return used.size },
    get waiting () { return waiters.length },
    get size () { return size() },
    get hasRoom () { return idle.length > 0 || mayOpen() },
    acquire: async (request) => {
      if (closed) {
        throw new RequestError('not-run', 'ConnectionLost', { upstream: target.upstream, reason: 'it is leaving' })
      }
      const ready = takeIdle(request)
      if (ready !== undefined) {
        return lease(ready)
      }
      return await new Promise((resolve, reject) => {
        const waiter: Waiter = {
          request,
          resolve,
          reject,
          timer: setTimeout(() => {
            waiters.splice(waiters.indexOf(waiter), 1)
            reject(waitedTooLong(request.waitMs))
          }, request.waitMs)
        }
        const after = waiters.findIndex((other) => other.request.priority > request.priority)
        waiters.splice(after < 0 ? waiters.length : after, 0, waiter)
        serveWaiters()
      })
    },
    abortInUse: () => {
      const all = [...used]
      all.forEach(({ connection }) => connection.close())
    },
    close: () => {
      closed = true
      clearInterval(trim)
      idle.splice(0).forEach(({ connection }) => connection.close())
      failWaiters(new RequestError('not-run', 'ConnectionLost', { upstream: target.upstream, reason: 'it is leaving' }))
    }
  }
}

function faultOf (error: RequestError): UpstreamFault {
  if (error.entry === 'UpstreamRefused') {
    return 'misrouted'
  }
  const { reason } = error.details as { reason: string }
  return reason.includes('ECONNREFUSED') || reason.includes('ECONNRESET') ? 'refused' : 'silent'
}
