/** Simulates network partitions between the hosts of an embedded deployment, over real sockets. */
import type { Socket } from 'node:net'
import { createDialer, formatEndpoint, type Dialer } from '../../core/wire/dialer.ts'

/** An open connection between two hosts. */
interface Link {
  from: string
  to: string
  socket: Socket
}

/** A network whose connections can be cut. */
export interface Network {
  /**
   * Creates the dialer of a host.
   *
   * @param from - name of the host
   */
  dialerOf: (from: string) => Dialer
  /** Maps an endpoint to a host, so that connections to it can be cut by host name. */
  name: (address: string, port: number, host: string) => void
  /** Partitions two hosts: packets are dropped silently, and connections are neither refused nor closed. */
  cut: (left: string, right: string) => void
  /** Partitions a host from all others. */
  isolate: (host: string) => void
  /** Silences all open connections without closing them; new ones work. */
  silence: () => void
  /** Ends all partitions and closes the connections that were cut. */
  mend: () => void
}

/** Wildcard that matches every host in a cut. */
const ALL_HOSTS = '*'

/**
 * Creates a network without partitions.
 *
 * @returns the network
 */
export function createNetwork (): Network {
  const dial = createDialer()
  const names = new Map<string, string>()
  const cuts = new Set<string>()
  const links = new Set<Link>()

  const isCut = (left: string, right: string): boolean =>
    cuts.has(pairOf(left, right)) || cuts.has(pairOf(left, ALL_HOSTS)) || cuts.has(pairOf(right, ALL_HOSTS))

  const freezeCutLinks = (): void => links.forEach((link) => {
    if (isCut(link.from, link.to)) {
      freeze(link.socket)
    }
  })

  return {
    dialerOf: (from) => (endpoint) => {
      const socket = dial(endpoint)
      const link = { from, to: names.get(formatEndpoint(endpoint)) ?? formatEndpoint(endpoint), socket }
      links.add(link)
      socket.once('close', () => links.delete(link))
      if (isCut(link.from, link.to)) {
        freeze(socket)
      }
      return socket
    },
    name: (address, port, host) => { names.set(formatEndpoint({ address, port }), host) },
    cut: (left, right) => {
      cuts.add(pairOf(left, right))
      freezeCutLinks()
    },
    isolate: (host) => {
      cuts.add(pairOf(host, ALL_HOSTS))
      freezeCutLinks()
    },
    silence: () => links.forEach(({ socket }) => freeze(socket)),
    mend: () => {
      cuts.clear()
      links.forEach(({ socket }) => {
        if (frozen.has(socket)) {
          socket.destroy()
        }
      })
    }
  }
}

const frozen = new WeakSet<Socket>()

/** Blocks both directions of a socket; the peer sees an open, silent connection. */
function freeze (socket: Socket): void {
  if (frozen.has(socket)) {
    return
  }
  frozen.add(socket)
  socket.pause()
  socket.resume = () => socket
  socket.read = () => null
  socket.write = () => true
  socket.end = () => socket
  const emit = socket.emit.bind(socket)
  socket.emit = (event: string | symbol, ...values: unknown[]) =>
    event === 'connect' || event === 'data' || event === 'ready' ? false : emit(event as never, ...values as never[])
}

function pairOf (left: string, right: string): string {
  return [left, right].sort().join('\0')
}
