import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { entrySettingsSchema, loadFile, parseContent } from '../../src/core/config/index.ts'
import { WorkswardError } from '../../src/core/errors/index.ts'

const ROOT = new URL('../../', import.meta.url).pathname

/** Values that the platform substitutes for the placeholders of the template. */
const TEMPLATE_VALUES: Record<string, string> = {
  'node-name': 'front-1',
  ip: '10.1.0.8',
  zone: 'hall-a',
  'listen.front': '10.1.0.8:8784',
  'listen.readiness': '10.1.0.8:8785',
  'internal-ports.0': '7440',
  'platform.address': '10.200.1.7:8783',
  'cloud.address': '10.200.0.160:8783',
  'bounds.drain-ms': '7000',
  'bounds.grace-s': '6',
  'bounds.quota-window-s': '5',
  'bounds.quota-overage': '0.1',
  'bounds.quota-slack': '20'
}

describe('entrySettingsSchema', () => {
  it('accepts the example', () => {
    expect(loadFile(`${ROOT}examples/entry.yaml`, entrySettingsSchema).host.name).toEqual('front-1')
  })

  it('accepts the filled-in deployment template', () => {
    const template = readFileSync(`${ROOT}deploy/settings.yaml.template`, 'utf8')
    const text = template.replace(/\{\{([^}]+)\}\}/g, (_gap, name: string) => TEMPLATE_VALUES[name] ?? `missing-${name}`)
    const settings = parseContent('template', text, entrySettingsSchema)
    expect(settings.listen.peers).toEqual(7440)
    expect(settings.graceSeconds).toEqual(6)
  })

  it('applies defaults for limits that the platform leaves empty', () => {
    const template = readFileSync(`${ROOT}deploy/settings.yaml.template`, 'utf8')
    const text = template.replace(/\{\{([^}]+)\}\}/g, (_gap, name: string) =>
      name.startsWith('bounds.quota') ? '' : TEMPLATE_VALUES[name] ?? `missing-${name}`)
    expect(parseContent('template', text, entrySettingsSchema).limits)
      .toEqual({ windowSeconds: 5, tolerance: { part: 0, operations: 0 } })
  })

  it('reports the line and the path of a mistake', () => {
    const text = readFileSync(`${ROOT}examples/entry.yaml`, 'utf8').replace('peers: 13403', 'peers: many')
    try {
      parseContent('entry.yaml', text, entrySettingsSchema)
      expect('accepted').toEqual('refused')
    } catch (thrown) {
      expect(thrown).toBeA(WorkswardError)
      expect((thrown as WorkswardError).message).toMatchRegex(/entry\.yaml:9: listen\.peers/)
    }
  })
})
