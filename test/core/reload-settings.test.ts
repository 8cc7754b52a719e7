import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { entrySettingsSchema, type EntrySettings } from '../../src/core/config/entry-settings.ts'
import { loadFile } from '../../src/core/config/load-file.ts'
import { reloadSettings } from '../../src/core/config/reload-settings.ts'
import type { LogFields } from '../../src/core/logger/index.ts'

const SETTINGS = `
host: { name: a, address: 127.0.0.1, failureDomain: x }
listen: { callers: 127.0.0.1:1, readiness: 127.0.0.1:2, peers: 3, metrics: 4 }
store: 127.0.0.1:5
promotion: 127.0.0.1:6
peers: { key: a-key-for-all-the-tests }
drainMs: 7000
`

describe('reloadSettings', () => {
  let folder: string
  let file: string
  let settings: EntrySettings
  let lines: Array<LogFields & { event: string }>
  let level: string
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'worksward-'))
    file = join(folder, 'settings.yaml')
    writeFileSync(file, SETTINGS)
    settings = loadFile(file, entrySettingsSchema)
    lines = []
    level = settings.log.level
  })
  afterEach(() => rmSync(folder, { recursive: true }))
  const reload = (text: string): void => {
    writeFileSync(file, text)
    reloadSettings({
      file,
      settings,
      logger: { log: (_level, event, fields) => { lines.push({ event, ...fields }) } },
      setLogLevel: (next) => { level = next }
    })
  }

  it('applies reloadable settings and names those that need a restart', () => {
    reload(`${SETTINGS.replace('7000', '9000').replace('peers: 3', 'peers: 33')}log: { level: debug }\n`)
    expect(settings.drainMs).toEqual(9000)
    expect(settings.listen.peers).toEqual(3)
    expect(level).toEqual('debug')
    expect(lines).toEqual([{ event: 'process.reload', applied: 'drainMs,log.level', atNextStart: 'listen.peers' }])
  })

  it('applies the settings of limits', () => {
    reload(`${SETTINGS}limits: { windowSeconds: 7, tolerance: { part: 0.2, operations: 3 } }\n`)
    expect(settings.limits).toEqual({ windowSeconds: 7, tolerance: { part: 0.2, operations: 3 } })
    expect(lines[0]?.['atNextStart']).toEqual('none')
  })

  it('reports that nothing has changed', () => {
    reload(SETTINGS)
    expect(lines).toEqual([{ event: 'process.reload', applied: 'none', atNextStart: 'none' }])
  })

  it('changes nothing when the file is invalid, and reports the mistake', () => {
    reload(SETTINGS.replace('drainMs: 7000', 'drainMs: -1\ngraceSeconds: 9'))
    expect(settings.graceSeconds).toEqual(6)
    expect(lines.map(({ event }) => event)).toEqual(['process.reload-refused'])
    expect(String(lines[0]!.reason).includes('drainMs')).toEqual(true)
  })
})
