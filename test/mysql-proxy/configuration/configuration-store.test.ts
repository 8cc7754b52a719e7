import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { groupSchema, proxySettingsSchema } from '../../../src/core/config/index.ts'
import { createDialer } from '../../../src/core/wire/dialer.ts'
import { createConfigurationStore, type ConfigurationStore } from '../../../src/mysql-proxy/configuration/configuration-store.ts'
import { connectPlatform, type PlatformConnection } from '../../../src/mysql-proxy/storage/index.ts'
import { servePlatform, type PlatformServer } from '../../../src/emulation/standin/platform-server.ts'

const GROUP = groupSchema.parse({
  upstreams: [{ name: 'u', address: '127.0.0.1', port: 1, failureDomain: 'd' }], account: { user: 'w', password: 'p' }
})

describe('createConfigurationStore', () => {
  let platform: PlatformServer
  let connection: PlatformConnection
  let store: ConfigurationStore
  let groupCount = 0

  before(async () => {
    platform = await servePlatform({
      address: '127.0.0.1', port: 0, accessKeys: { key: 'secret' }, readsPerSecond: 1e6, writesPerSecond: 1e6
    })
    const settings = proxySettingsSchema.shape.platform.parse({
      tableEndpoint: platform.endpoint, objectEndpoint: platform.endpoint, accessKey: 'key', secretKey: 'secret'
    })
    connection = connectPlatform(settings, createDialer())
    store = createConfigurationStore(connection.table, connection.objects)
  })
  after(async () => {
    connection.close()
    await platform.close()
  })

  const change = (changeId: string) => ({ changeId, operator: 'o', at: '2026-01-01T00:00:00Z', reason: '' })

  it('accepts exactly one of several concurrent changes to a version when write responses are lost', async () => {
    const step = fc.record({ writers: fc.integer({ min: 1, max: 3 }), lostResponses: fc.integer({ min: 0, max: 3 }) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 4 }), async (steps) => {
      const name = `group-${++groupCount}`
      let version = 0
      for (const [round, { writers, lostResponses }] of steps.entries()) {
        platform.faults.loseWriteAnswers = lostResponses
        const ids = Array.from({ length: writers }, (_value, index) => `${name}-${round}-${index}`)
        const results = await Promise.allSettled(ids.map(async (id) =>
          await store.accept([{ name, group: GROUP, baseVersion: version }], change(id))))
        platform.faults.loseWriteAnswers = 0
        const winners = results.filter(({ status }) => status === 'fulfilled').length
        expect(winners).toEqual(1)
        version++
      }
      const accepted = (await store.history(0)).filter(({ groups }) => groups.some((group) => group.name === name))
      expect(accepted.map(({ groups }) => groups[0]!.version)).toEqual(steps.map((_step, index) => index + 1))
      expect(await store.snapshot(name, version)).not.toEqual(undefined)
    }), { seed: 7, numRuns: 15 })
  })

  it('rejects a change while the platform is unavailable, and accepts a repeated change only once afterwards', async () => {
    platform.faults.outage = true
    const groupChanges = [{ name: 'down', group: GROUP, baseVersion: 0 }]
    await expect(store.accept(groupChanges, change('down-1'))).toBeRejectedWith('the platform did not answer')
    platform.faults.outage = false
    const first = await store.accept(groupChanges, change('down-1'))
    expect(await store.accept(groupChanges, change('down-1'))).toEqual(first)
  })
})
