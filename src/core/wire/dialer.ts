/** Opens outgoing connections. Tests replace the dialer to drop, delay or stall connections between hosts. */
import { connect, type Socket } from 'node:net'

/** Address and port of a TCP endpoint. */
export interface Endpoint {
  address: string
  port: number
}

/** Opens a connection to an endpoint. */
export type Dialer = (endpoint: Endpoint) => Socket

/**
 * Creates a dialer for TCP connections.
 *
 * @param localAddress - local IP address to connect from
 * @returns the dialer
 */
export function createDialer (localAddress?: string): Dialer {
  return ({ address, port }) => connect({ host: address, port, localAddress, noDelay: true })
}

/**
 * Formats an endpoint as `ip:port`.
 *
 * @param endpoint - the endpoint
 * @returns `ip:port`
 */
export function formatEndpoint ({ address, port }: Endpoint): string {
  return `${address}:${port}`
}

/**
 * Parses `ip:port`.
 *
 * @param text - the text
 * @returns the endpoint
 */
export function parseEndpoint (text: string): Endpoint {
  const separator = text.lastIndexOf(':')
  return { address: text.slice(0, separator), port: Number(text.slice(separator + 1)) }
}
