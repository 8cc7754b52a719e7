/** Opens outgoing connections. Tests replace it to cut, delay or freeze links between hosts. */
import { connect, type Socket } from 'node:net'

/** Where a connection goes. */
export interface Endpoint {
  address: string
  port: number
}

/** Opens a connection to an endpoint. */
export type Dialer = (endpoint: Endpoint) => Socket

/**
 * Creates the dialer of a real process.
 *
 * @param localAddress - IP number to dial from
 * @returns the dialer
 */
export function createDialer (localAddress?: string): Dialer {
  return ({ address, port }) => connect({ host: address, port, localAddress, noDelay: true })
}

/**
 * Formats an endpoint.
 *
 * @param endpoint - the endpoint
 * @returns `ip:port`
 */
export function formatEndpoint ({ address, port }: Endpoint): string {
  return `${address}:${port}`
}

/**
 * Reads `ip:port`.
 *
 * @param text - the text
 * @returns the endpoint
 */
export function parseEndpoint (text: string): Endpoint {
  const separator = text.lastIndexOf(':')
  return { address: text.slice(0, separator), port: Number(text.slice(separator + 1)) }
}
