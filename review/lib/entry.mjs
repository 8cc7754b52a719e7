/** Entry processes, started with the command and the settings template of the deploy file. */
import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { pause } from './network.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const READY_POLL_MS = 50
const RESTART_MS = 300
const LOG_LINES = 60

export const CLIENT_PORT = 8784
const READINESS_PORT = 8785
export const STORE_PORT = 8783
export const PROMOTION_PORT = 8782

/** Returns the command of the role in the deploy file, as words. */
function deployCommand () {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  return /^run = "([^"]*)"/m.exec(text)[1].split(' ')
}

/** Fills the settings template; a gap without a value stays empty, as on an installation without that field. */
function fillTemplate (values) {
  const template = readFileSync(join(ROOT, 'deploy', 'settings.yaml.template'), 'utf8')
  return template.replace(/\{\{([^}]*)\}\}/g, (_gap, name) => values[name] ?? '')
}

async function isReady (address) {
  return await new Promise((resolve) => {
    get({ host: address, port: READINESS_PORT, path: '/v1/readiness' }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    }).on('error', () => resolve(false))
  })
}

/**
 * Starts an entry process. One that ends is started again after a short delay, as the platform does.
 *
 * @param name - name of the machine
 * @param address - its loopback address
 * @param zone - its zone
 * @param store - address of the store
 * @param promotion - address of the call to promote
 * @param linkMegabits - megabits a second of its link, for its settings
 * @param folder - folder for the settings file
 * @param onLog - called with each line of its log
 * @param onEnd - called when the process ends by itself
 */
export function startEntry (
  { name, address, zone, store, promotion, linkMegabits = 1000, folder, onLog = () => {}, onEnd = () => {} }
) {
  const settings = join(folder, `${name}.yaml`)
  writeFileSync(settings, fillTemplate({
    'node-name': name,
    ip: address,
    zone,
    'limits.cpu-share': '0.675',
    'limits.cores': '1',
    'limits.link-mbps': String(linkMegabits),
    'listen.front': `${address}:${CLIENT_PORT}`,
    'listen.readiness': `${address}:${READINESS_PORT}`,
    'internal-ports.0': '7440',
    'platform.address': `${store}:${STORE_PORT}`,
    'cloud.address': `${promotion}:${PROMOTION_PORT}`,
    'bounds.drain-ms': '7000',
    'bounds.grace-s': '6'
  }))
  const [, ...words] = deployCommand()
  const { PATH, HOME, LANG } = process.env
  let child
  let isStopping = false
  let restart
  const run = () => {
    const log = []
    child = spawn(process.execPath, words, {
      cwd: ROOT, env: { PATH, HOME, LANG, WORKSWARD_BOOT: settings }, stdio: ['ignore', 'pipe', 'pipe']
    })
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream }).on('line', (line) => {
        onLog(line)
        log.push(line)
        log.splice(0, log.length - LOG_LINES)
      })
    }
    child.once('close', (code, signal) => {
      if (!isStopping) {
        onEnd({ name, code, signal, log })
        restart = setTimeout(run, RESTART_MS)
      }
    })
  }
  run()
  return {
    name,
    address,
    zone,
    isReady: async () => await isReady(address),
    waitUntilReady: async (timeoutMs) => {
      const until = performance.now() + timeoutMs
      while (performance.now() < until) {
        if (await isReady(address)) {
          return true
        }
        await pause(READY_POLL_MS)
      }
      return false
    },
    /** Kills the process, which is started again. */
    kill: () => child.kill('SIGKILL'),
    stop: () => {
      isStopping = true
      clearTimeout(restart)
      child.kill('SIGKILL')
    }
  }
}
