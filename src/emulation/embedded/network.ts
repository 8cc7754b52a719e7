/** A network between the hosts of an embedded deployment, on real sockets, whose links can be cut and mended. */
import type { Socket } from 'node:net'
import { createDialer, formatEndpoint, type Dialer } from '../../core/wire/dialer.ts'

/** A connection made over the network. */
interface Link {
  from: string
  to: string
  socket: Socket
}

/** A network. */
export interface Network {
  /**
   * Creates the dialer of a host.
   *
   * @param from - name of the host
   */
  dialerOf: (from: string) => Dialer
  /** Gives a name to an endpoint, so that links to it can be cut. */
  name: (address: string, port: number, host: string) => void
  /** Cuts two hosts off from each other: nothing passes, nothing is refused. */
  cut: (left: string, right: string) => void
  /** Cuts a host off from all others. */
  isolate: (host: string) => void
  /** Mends everything; connections that were cut break now. */
  mend: () => void
}

/** Stands for all hosts in a cut. */
const EVERYBODY = '*'

/**
 * Creates a network without cuts.
 *
 * @returns the network
 */
export function createNetwork (): Network {
  const dial = createDialer()
  const names = new Map<string, string>()
  const cuts = new Set<string>()
  const links = new Set<Link>()

  const isCut = (left: string, right: string): boolean =>
    cuts.has(pairOf(left, right)) || cuts.has(pairOf(left, EVERYBODY)) || cuts.has(pairOf(right, EVERYBODY))

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
      cuts.add(pairOf(host, EVERYBODY))
      freezeCutLinks()
    },
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

/** Lets nothing pass in either direction; the other end sees an open connection that is silent. */
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
