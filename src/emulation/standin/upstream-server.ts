/** Serves a stand-in upstream over the MySQL protocol, with concurrency and connection limits and injected faults. */
import { setTimeout as sleep } from 'node:timers/promises'
import PQueue from 'p-queue'
import { describeThrown } from '../../core/errors/index.ts'
import { doubleSha1 } from '../../mysql/password.ts'
import type { SocketListener } from '../../core/wire/listener.ts'
import type { Refusal } from '../../mysql/client-handler.ts'
import { listenMysql } from '../../mysql/server.ts'
import { MYSQL_ERROR } from '../../mysql/consts.ts'
import { createUpstreamSession, type SessionFaults } from './upstream-session.ts'
import type { Upstream } from './upstream.ts'

/** Options of {@link serveUpstream}. */
interface UpstreamServerOptions {
  upstream: Upstream
  address: string
  port: number
  user: string
  password: string
  slots: number
  connections: number
  connectMs: number
  readMs: number
  writeMs: number
}

/** A running server of an upstream. */
export interface UpstreamServer {
  upstream: Upstream
  port: number
  faults: SessionFaults
  /** Returns the number of open connections. */
  connections: () => number
  /** Returns the number of connections refused at the connection limit since the start. */
  refused: () => number
  /** Simulates a crash: closes all connections and rolls back open transactions. */
  crash: () => Promise<void>
  /** Restarts the upstream on the same port after a crash. */
  restart: () => Promise<void>
  close: () => Promise<void>
}

/** Maximum size of one command, in bytes. */
const STATEMENT_BYTES = 16_000_000

/**
 * Starts serving an upstream.
 *
 * @param options - the upstream, its address and limits
 * @returns the server
 */
export async function serveUpstream (options: UpstreamServerOptions): Promise<UpstreamServer> {
  const { upstream } = options
  const slots = new PQueue({ concurrency: options.slots })
  const faults: SessionFaults = { loseAnswers: new Map() }
  const counts = { open: 0, refused: 0 }
  let port = options.port
  let server: SocketListener | undefined

  const listen = async (): Promise<void> => {
    server = await listenMysql({
      address: options.address,
      port,
      statementBytes: STATEMENT_BYTES,
      findPasswordHash: (user) => user === options.user ? doubleSha1(options.password) : undefined,
      admit: async (onClose) => await admit(options, counts, onClose),
      serve: (client) => createUpstreamSession({ ...options, slots, faults, destroy: client.destroy }),
      toRefusal
    })
    port = server.port
  }
  await listen()
  const stop = async (): Promise<void> => {
    const stopping = server
    server = undefined
    await stopping?.close()
  }

  return {
    upstream,
    get port () { return port },
    faults,
    connections: () => counts.open,
    refused: () => counts.refused,
    crash: async () => {
      upstream.crashed = true
      await stop()
    },
    restart: async () => {
      upstream.crashed = false
      if (server === undefined) {
        await listen()
      }
      upstream.resume()
    },
    close: async () => {
      await stop()
      upstream.close()
    }
  }
}

async function admit (
  options: UpstreamServerOptions,
  counts: { open: number, refused: number },
  onClose: (listener: () => void) => void
): Promise<Refusal | undefined> {
  if (counts.open >= options.connections) {
    counts.refused++
    return { code: MYSQL_ERROR.tooManyConnections, message: 'Too many connections' }
  }
  counts.open++
  onClose(() => { counts.open-- })
  await sleep(options.connectMs)
  while (options.upstream.paused) {
    await sleep(options.connectMs + 1)
  }
  return undefined
}

function toRefusal (thrown: unknown): Refusal {
  const message = describeThrown(thrown)
  if (/readonly|read-only/.test(message)) {
    return { code: MYSQL_ERROR.readOnly, message }
  }
  if (/UNIQUE constraint/.test(message)) {
    return { code: MYSQL_ERROR.duplicateEntry, message }
  }
  return { code: MYSQL_ERROR.unknown, message }
}
