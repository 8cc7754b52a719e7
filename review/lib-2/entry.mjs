// Starts entry processes with the command of deploy/system.toml, and restarts one that ends as the platform does.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createConnection } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const CALLERS = 8784
export const READINESS = 8785
export const STORE = 8783
export const BACKEND = 8149
const PEERS = 7440
const METRICS = 7441
const RESTART_MS = 500
const ROOT = new URL('../../', import.meta.url).pathname

/** Ends of hosts that this script has started, however it ends itself. */
const stops = new Set()
process.on('exit', () => stops.forEach((stop) => stop()))
process.on('SIGTERM', () => process.exit(2))
process.on('SIGINT', () => process.exit(2))
// Exit code 1 says that a rule was broken, so an error of the script must not end with it.
process.on('uncaughtException', (error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exit(2)
})

const pause = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

async function isFree (host) {
  return await new Promise((resolve) => {
    const socket = createConnection({ host, port: STORE })
    socket.once('connect', () => {
      socket.destroy()
      resolve(false)
    })
    socket.once('error', () => resolve(true))
  })
}

/** Returns the first three bytes of a loopback network on which nothing listens. */
export async function freeNetwork () {
  for (let number = process.pid; ; number++) {
    const network = `127.${64 + (number >> 8) % 128}.${number % 256}`
    if (await isFree(`${network}.2`)) {
      return network
    }
  }
}

function commandOfDeployFile () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  return /^run = "(.*)"$/m.exec(text)[1].split(' ')
}

async function isReady (host) {
  return await new Promise((resolve) => {
    get({ host, port: READINESS, path: '/v1/readiness', timeout: 1000 }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    }).on('error', () => resolve(false)).on('timeout', function () { this.destroy() })
  })
}

/**
 * Starts a host. The settings are those of deploy/settings.yaml.template, filled with the figures of a small site.
 *
 * @param options.onEnd called with `{ host, code, signal, lifeMs, lastLines }` when a process ends
 */
export function startHost ({ name, address, zone, store, graceSeconds = 6, onEnd = () => {}, restarts = true }) {
  const folder = mkdtempSync(join(tmpdir(), 'worksward-review-'))
  const file = join(folder, 'settings.yaml')
  const writeSettings = (grace) => writeFileSync(file, [
    'host:', `  name: ${name}`, `  address: ${address}`, `  failureDomain: ${zone}`,
    '  capacity:', '    coreShare: 0.675', '    cores: 1', '    linkMbps: 1000',
    'listen:', `  callers: ${address}:${CALLERS}`, `  readiness: ${address}:${READINESS}`,
    `  peers: ${PEERS}`, `  metrics: ${METRICS}`,
    `store: ${store}:${STORE}`, `promotion: ${store}:${STORE + 100}`,
    'peers:', '  key: worksward-peers-of-one-deployment',
    'drainMs: 7000', `graceSeconds: ${grace}`,
    'limits:', '  windowSeconds: 5', '  tolerance:', '    part: 0', '    operations: 0', ''
  ].join('\n'))
  writeSettings(graceSeconds)
  const [command, ...parameters] = commandOfDeployFile()
  let child
  let isStopped = false
  let endedCount = 0
  const start = () => {
    const startedAt = performance.now()
    const lastLines = []
    child = spawn(command, parameters, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', WORKSWARD_BOOT: file }
    })
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => {
        lastLines.push(...String(chunk).split('\n').filter((line) => line !== ''))
        lastLines.splice(0, Math.max(0, lastLines.length - 400))
      })
    }
    child.once('close', (code, signal) => {
      if (isStopped) {
        return
      }
      endedCount++
      onEnd({ host: name, code, signal, lifeMs: Math.round(performance.now() - startedAt), lastLines })
      restarts && setTimeout(() => isStopped || start(), RESTART_MS)
    })
  }
  const stop = () => {
    isStopped = true
    stops.delete(stop)
    child.kill('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
  }
  stops.add(stop)
  start()
  return {
    name,
    address,
    zone,
    get pid () { return child.pid },
    get ends () { return endedCount },
    /** Fills the settings file anew, as the platform does whenever the settings change. */
    writeSettings,
    kill: (signal) => child.kill(signal),
    isReady: async () => await isReady(address),
    stop
  }
}

/** Waits until all hosts are ready; returns whether they were in time. */
export async function awaitReady (hosts, limitMs = 20_000) {
  const until = performance.now() + limitMs
  while (performance.now() < until) {
    const ready = await Promise.all(hosts.map(async (host) => await host.isReady()))
    if (ready.every(Boolean)) {
      return true
    }
    await pause(100)
  }
  return false
}
