import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { entrySettingsSchema, loadFile, parseContent } from '../../src/core/config/index.ts'
import { WorkswardError } from '../../src/core/errors/index.ts'
import { capacityOf } from '../../src/placement/capacity.ts'

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
  'bounds.quota-slack': '20',
  'limits.cpu-share': '0.27',
  'limits.cores': '5',
  'limits.link-mbps': '140'
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
    expect(capacityOf(settings.host.capacity!)).toEqual(1.35)
  })

  it('applies defaults for limits and capacity that the platform leaves empty', () => {
    const template = readFileSync(`${ROOT}deploy/settings.yaml.template`, 'utf8')
    const text = template.replace(/\{\{([^}]+)\}\}/g, (_gap, name: string) =>
      /^(?:bounds\.quota|limits\.)/.test(name) ? '' : TEMPLATE_VALUES[name] ?? `missing-${name}`)
    const { limits, host } = parseContent('template', text, entrySettingsSchema)
    expect(limits).toEqual({ windowSeconds: 5, tolerance: { part: 0, operations: 0 } })
    expect(capacityOf(host.capacity!)).toEqual(undefined)
  })

  it('refuses capacities that are not positive numbers, with path, value and expectation', () => {
    const example = readFileSync(`${ROOT}examples/entry.yaml`, 'utf8')
    const parse = (capacity: string): string => {
      const text = example.replace('failureDomain: hall-a', `failureDomain: hall-a\n  capacity: ${capacity}`)
      try {
        return JSON.stringify(parseContent('entry.yaml', text, entrySettingsSchema).host)
      } catch (thrown) {
        return (thrown as WorkswardError).message
      }
    }
    for (const value of ['0', '-1', 'many', '"2"', '.inf', '.nan', '[1]', '{ a: 1 }']) {
      expect(parse(`{ cores: ${value} }`))
        .toMatchRegex(/^entry\.yaml:6: host\.capacity\.cores: expected a positive number, or nothing/)
    }
    expect(parse('{ memory: 1 }')).toMatchRegex(/host\.capacity: Unrecognized key: "memory"/)
    const host = '"name":"front-1","address":"127.0.0.1","failureDomain":"hall-a"'
    expect([parse(''), parse('{ cores: "", linkMbps: }')]).toEqual([`{${host}}`, `{${host},"capacity":{}}`])
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
