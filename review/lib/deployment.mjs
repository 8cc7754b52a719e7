/** A small deployment: the platform, one service of three backends, and three entry processes in three zones. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startDatabase } from './database.mjs'
import { PROMOTION_PORT, startEntry, STORE_PORT } from './entry.mjs'
import { closeAtEnd } from './guard.mjs'
import { startNarrowLink } from './narrow-link.mjs'
import { freeNetwork } from './network.mjs'
import { startPlatform } from './platform.mjs'

const ZONES = ['mapo-hall', 'guro-hall', 'songpa-hall']
const BACKEND_PORT = 8080
const READY_TIMEOUT_MS = 20_000

export const DATABASE = 'lepu270'
const SERVICE = 'huvo11a'
export const FIRST_VERSION = 7

function routeOf (name, host) {
  return {
    name,
    host,
    'path-prefix': '/',
    type: 'primary',
    'timeout-ms': 800,
    'target-latency-ms': 150,
    priority: 1,
    service: SERVICE,
    'max-attempts': 2
  }
}

/**
 * Starts the deployment and waits until its processes are ready.
 *
 * @param record - record of the case
 * @param syncReplicas - `sync-replicas` of the service
 * @param onRun - called with each statement of a client that a backend runs
 * @param onPromoted - called when a promotion takes effect
 * @param onEnd - called when an entry process ends by itself
 * @param linkMegabits - megabits a second from the store to each machine; unlimited by default
 */
export async function startDeployment (
  {
    record, syncReplicas = 0, onRun = () => {}, onPromoted = () => {}, onEnd = () => {},
    linkMegabits
  }
) {
  const network = await freeNetwork()
  const folder = mkdtempSync(join(tmpdir(), 'worksward-review-'))
  const platform = await startPlatform({
    address: `${network}.2`,
    storePort: STORE_PORT,
    promotionPort: PROMOTION_PORT,
    onPromote: (service, id, holder, fence) => {
      const status = database.promote(id)
      record.write(`promote ${service} ${id} by ${holder} fence ${fence}: ${status}`)
      return status
    }
  })
  const database = await startDatabase({
    name: SERVICE,
    platform,
    syncReplicas,
    onRun,
    onPromoted,
    hosts: ZONES.map((zone, index) =>
      ({ id: `i-${'pqr'[index]}000000${index}`, address: `${network}.${100 + index}`, port: BACKEND_PORT, zone }))
  })
  /** Writes a desired state with the route of the clients and a number of other routes. */
  const configure = (version, otherRoutes = 0) => platform.put('op', 'config', {
    version,
    routes: [routeOf('r-n2ctnfz', DATABASE), ...Array.from({ length: otherRoutes }, (_, index) => {
      const number = String(index).padStart(5, '0')
      return routeOf(`r-x${number}`, `many${number}`)
    })],
    services: [{
      name: SERVICE,
      'health-check': '/health',
      'max-connections': 23,
      protocol: 'h1',
      tls: false,
      'sync-replicas': syncReplicas
    }],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 262144,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
      'tx-idle-ms': 3000
    }
  })
  configure(FIRST_VERSION)
  const links = linkMegabits === undefined
    ? []
    : await Promise.all(ZONES.map(async (_zone, index) => await startNarrowLink({
      address: `${network}.${20 + index}`, port: STORE_PORT, target: `${network}.2`, megabits: linkMegabits
    })))
  const entries = ZONES.map((zone, index) => startEntry({
    name: `front-${zone}-1`,
    address: `${network}.${10 + index}`,
    zone,
    store: links.length > 0 ? `${network}.${20 + index}` : `${network}.2`,
    promotion: `${network}.2`,
    linkMegabits,
    folder,
    onLog: (line) => /event=(failover|leadership|process|promotion)/.test(line) && record.write(line),
    onEnd
  }))
  const close = () => {
    entries.forEach((entry) => entry.stop())
    database.close()
    platform.close()
    links.forEach((link) => link.close())
    rmSync(folder, { recursive: true, force: true })
  }
  closeAtEnd(close)
  const ready = await Promise.all(entries.map(async (entry) => await entry.waitUntilReady(READY_TIMEOUT_MS)))
  return {
    configure,
    database,
    entries,
    isReady: ready.every(Boolean),
    close
  }
}
