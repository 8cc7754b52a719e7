import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { entrySettingsSchema } from '../../src/core/config/entry-settings.ts'
import type { Kernel } from '../../src/core/kernel/index.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { startEntry } from '../../src/entry/start-entry.ts'
import { expectGolden } from './golden.ts'

const ADDRESS = '127.0.0.1'
const PROGRAM = new URL('../../bin/worksward-entry.js', import.meta.url).pathname

/** Finds free ports. */
async function findPorts (count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, ADDRESS))
  await Promise.all(servers.map(async (server) => await once(server, 'listening')))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => server.close(resolve))))
  return ports
}

describe('command line of worksward-entry', () => {
  const run = async (args: string[], environment: Record<string, string> = {}): Promise<unknown> => {
    const inherited = { ...process.env }
    delete inherited['WORKSWARD_BOOT']
    const child = spawn(process.execPath, [PROGRAM, ...args], { env: { ...inherited, ...environment } })
    let output = ''
    let errors = ''
    child.stdout.on('data', (chunk) => { output += String(chunk) })
    child.stderr.on('data', (chunk) => { errors += String(chunk) })
    const [code] = await once(child, 'close') as [number | null]
    return { code, output: output.split('\n'), errors: errors.split('\n') }
  }

  it('prints usage, and errors for missing or unnamed settings files and unknown options', async () => {
    expectGolden('program', {
      help: await run(['--help']),
      missing: await run(['/there/is/no/such/file.yaml']),
      missingByVariable: await run([], { WORKSWARD_BOOT: '/there/is/no/other.yaml' }),
      unnamed: await run([]),
      unknownOption: await run(['--other', '/there/is/no/such/file.yaml'])
    })
  })
})

describe('endpoints of an entry process', () => {
  let kernel: Kernel
  let metricsPort: number
  let readinessPort: number
  before(async () => {
    const [callers, readiness, metrics, store, promotion] = await findPorts(5)
    metricsPort = metrics!
    readinessPort = readiness!
    const settings = entrySettingsSchema.parse({
      host: { name: 'front-1', address: ADDRESS, failureDomain: 'hall-a', capacity: { cores: 1.35, linkMbps: 140 } },
      listen: { callers: `${ADDRESS}:${callers}`, readiness: `${ADDRESS}:${readiness}`, peers: 0, metrics },
      store: `${ADDRESS}:${store}`,
      promotion: `${ADDRESS}:${promotion}`,
      peers: { key: 'a-key-for-all-the-tests' }
    })
    kernel = await startEntry(settings, { logger: silentLogger, dialer: createDialer() })
  })
  after(async () => await kernel.close())
  const get = async (port: number, path: string): Promise<Response> => await fetch(`http://${ADDRESS}:${port}${path}`)

  it('expose the same metric names, help texts, types and labels', async () => {
    const response = await get(metricsPort, '/metrics')
    expect([response.status, response.headers.get('content-type')])
      .toEqual([200, 'text/plain; version=0.0.4; charset=utf-8'])
    const lines = (await response.text()).split('\n')
    const ofMemory = lines.filter((line) => line.includes('worksward_memory_'))
    expect(ofMemory.map((line) => line.startsWith('#') ? line : line.slice(0, line.lastIndexOf(' ')))).toEqual([
      '# HELP worksward_memory_held_bytes Memory that is held for others, by use',
      '# TYPE worksward_memory_held_bytes gauge',
      'worksward_memory_held_bytes{label="names"}',
      'worksward_memory_held_bytes{label="requests"}',
      'worksward_memory_held_bytes{label="answers"}',
      '# HELP worksward_memory_maximum_bytes Memory that may be held for others, by use',
      '# TYPE worksward_memory_maximum_bytes gauge',
      'worksward_memory_maximum_bytes{label="names"}',
      'worksward_memory_maximum_bytes{label="requests"}',
      'worksward_memory_maximum_bytes{label="answers"}'
    ])
    const [ofCapacity, others] = [true, false].map((isWanted) => lines.filter((line) =>
      !ofMemory.includes(line) && /\bworksward_capacity\b/.test(line) === isWanted))
    expect(ofCapacity!).toEqual([
      '# HELP worksward_capacity Capacity of this host in units, 1 if unknown',
      '# TYPE worksward_capacity gauge',
      'worksward_capacity{label="units"} 1.35'
    ])
    const comments = others!.filter((line) => line.startsWith('#'))
    const samples = others!.filter((line) => line !== '' && !line.startsWith('#'))
    // Labels of store calls depend on timing.
    const constant = samples.filter((line) => !line.startsWith('worksward_store_milliseconds'))
    const names = constant.map((line) => line.slice(0, line.lastIndexOf(' ')))
    expect(samples.filter((line) => !/^worksward_[a-z_]+\{label="[^"]*"\} \S+$/.test(line))).toEqual([])
    const all = { comments: comments.sort(), names: [...new Set(names)].sort() }
    const select = (isSelected: (line: string) => boolean) =>
      ({ comments: all.comments.filter(isSelected), names: all.names.filter(isSelected) })
    const isConnections = (line: string): boolean => line.includes('worksward_connections_')
    expectGolden('metrics', select((line) => !isConnections(line)))
    // Added later than the others, in a file of their own, since golden files are not edited.
    expectGolden('metrics-connections', select(isConnections))
  })

  it('report readiness and dump the same fields', async () => {
    expect((await get(readinessPort, '/')).status).toEqual(503)
    const response = await get(metricsPort, '/dump')
    expect([response.status, response.headers.get('content-type')]).toEqual([200, 'application/json'])
    const { memory, ...state } = await response.json() as Record<string, Record<string, unknown> | null>
    expect(Object.keys(memory!)).toEqual(['heldBytes', 'maximumBytes', 'texts'])
    expect((state['registry']!['self'] as { capacity?: number }).capacity).toEqual(1.35)
    expectGolden('dump', Object.entries(state).map(([part, fields]) => [part, Object.keys(fields ?? {})].flat()).sort())
  })
})
