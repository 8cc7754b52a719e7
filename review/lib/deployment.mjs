/** A small deployment: the platform, one service of three backends, and three entry processes in three zones. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startDatabase } from './database.mjs'
import { PROMOTION_PORT, startEntry, STORE_PORT } from './entry.mjs'
import { closeAtEnd } from './guard.mjs'
import { freeNetwork } from './network.mjs'
import { startPlatform } from './platform.mjs'

const ZONES = ['mapo-hall', 'guro-hall', 'songpa-hall']
const BACKEND_PORT = 8080
const READY_TIMEOUT_MS = 20_000

export const DATABASE = 'lepu270'

/**
 * Starts the deployment and waits until its processes are ready.
 *
 * @param record - record of the case
 * @param syncReplicas - `sync-replicas` of the service
 * @param type - type of the route
 * @param timeoutMs - time limit of the route
 * @param onRun - called with each statement of a client that a backend runs
 * @param onPromoted - called when a promotion takes effect
 * @param onEnd - called when an entry process ends by itself
 * @param rowsOf - returns the lines of rows of a thing; undefined for what was written last
 */
export async function startDeployment (
  {
    record, syncReplicas = 0, type = 'primary', timeoutMs = 800, onRun = () => {}, onPromoted = () => {},
    onEnd = () => {}, rowsOf = () => undefined
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
    name: 'huvo11a',
    platform,
    syncReplicas,
    onRun,
    onPromoted,
    rowsOf,
    hosts: ZONES.map((zone, index) =>
      ({ id: `i-${'pqr'[index]}000000${index}`, address: `${network}.${100 + index}`, port: BACKEND_PORT, zone }))
  })
  platform.put('op', 'config', {
    version: 7,
    routes: [{
      name: 'r-n2ctnfz',
      host: DATABASE,
      'path-prefix': '/',
      type,
      'timeout-ms': timeoutMs,
      'target-latency-ms': 500,
      priority: 1,
      service: 'huvo11a',
      'max-attempts': 2,
      ...type === 'primary' ? {} : { 'max-staleness-ms': 1500 }
    }],
    services: [{
      name: 'huvo11a',
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
  const entries = ZONES.map((zone, index) => startEntry({
    name: `front-${zone}-1`,
    address: `${network}.${10 + index}`,
    zone,
    platform: `${network}.2`,
    folder,
    onLog: (line) => /event=(failover|leadership|process|promotion)/.test(line) && record.write(line),
    onEnd
  }))
  const close = () => {
    entries.forEach((entry) => entry.stop())
    database.close()
    platform.close()
    rmSync(folder, { recursive: true, force: true })
  }
  closeAtEnd(close)
  const ready = await Promise.all(entries.map(async (entry) => await entry.waitUntilReady(READY_TIMEOUT_MS)))
  return {
    platform,
    database,
    entries,
    isReady: ready.every(Boolean),
    close
  }
}
