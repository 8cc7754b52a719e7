import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createSnapshot } from '../../src/entry/registry/snapshot.ts'
import { REGISTRY_TABLE, registryKeys, RETIRED_PROCESS } from '../../src/entry/registry/types.ts'
import { setUpWorld } from '../fixtures/fleet/set-up.ts'

const GROUP = '{"epoch":4,"primary":"g-b","primaryBornAt":1700000000000,"state":"closed","term":3,"writtenBy":"h1",' +
  '"succession":"7a4d"}'
const ROWS = [
  { key: 'duty/promotion', value: '{"holder":"h1","process":"p1","fence":2,"expiresMs":1234.5}', version: 9 },
  { key: 'group/g', value: GROUP, version: 8 },
  { key: 'group/old', value: '{"epoch":1,"primary":"o-a","state":"open","term":1,"writtenBy":"h1","succession":""}', version: 3 },
  {
    key: 'host/h1',
    value: '{"address":"10.1.0.8","port":7440,"failureDomain":"x","process":"p1","stopped":{"g":4,"o":1},"leaving":true,' +
      '"unknown":1}',
    version: 7
  },
  { key: 'host/h2', value: '{"address":"10.1.0.9","port":7440,"failureDomain":"y","process":"p2"}', version: 2 },
  {
    key: 'host/h3',
    value: '{"address":"10.1.0.7","port":7440,"failureDomain":"y","process":"retired","retiredUntilMs":17.25}',
    version: 6
  }
]

describe('registry rows', () => {
  it('use one table with these keys', () => {
    expect([REGISTRY_TABLE, registryKeys.host('h1'), registryKeys.group('g'), registryKeys.promotionLease, RETIRED_PROCESS])
      .toEqual(['worksward', 'host/h1', 'group/g', 'duty/promotion', 'retired'])
  })

  it('are decoded with the fewest fields and with unknown fields', () => {
    const { hosts, liveHosts, closedGroups, promotionLease, group, digest } = createSnapshot(ROWS, 9, 0)
    const [first, second, third] = [
      {
        address: '10.1.0.8',
        port: 7440,
        failureDomain: 'x',
        process: 'p1',
        stopped: { g: 4, o: 1 },
        leaving: true,
        name: 'h1',
        version: 7
      },
      { address: '10.1.0.9', port: 7440, failureDomain: 'y', process: 'p2', name: 'h2', version: 2 },
      {
        address: '10.1.0.7',
        port: 7440,
        failureDomain: 'y',
        process: 'retired',
        retiredUntilMs: 17.25,
        name: 'h3',
        version: 6
      }
    ]
    expect<unknown[]>(hosts).toEqual([first, second, third])
    expect<unknown[]>(liveHosts).toEqual([first, second])
    expect(closedGroups).toEqual([{ group: 'g', epoch: 4 }])
    expect(promotionLease).toEqual({ row: { holder: 'h1', process: 'p1', fence: 2, expiresMs: 1234.5 }, version: 9 })
    expect(group('g')).toEqual({
      row: {
        epoch: 4,
        primary: 'g-b',
        primaryBornAt: 1_700_000_000_000,
        state: 'closed',
        term: 3,
        writtenBy: 'h1',
        succession: '7a4d'
      },
      version: 8
    })
    expect(group('old')).toEqual({
      row: { epoch: 1, primary: 'o-a', state: 'open', term: 1, writtenBy: 'h1', succession: '' }, version: 3
    })
    expect(group('none')).toEqual({ row: undefined, version: 0 })
    expect(digest).toEqual('E9zFvJWMYtCKZwUfe6Bx29sMisC1s0k3cSgg1hI/XQg=')
  })

  it('hold the capacity of a host, and count as rows without one when it is invalid', () => {
    const capacityIn = (capacity: string): unknown => {
      const value = `{"address":"10.1.0.9","port":7440,"failureDomain":"y","process":"p2","capacity":${capacity}}`
      return createSnapshot([{ key: 'host/h2', value, version: 2 }], 2, 0).liveHosts[0]!.capacity
    }
    expect(['1.35', '0.05', '0', '-1', '"1"', 'null'].map(capacityIn))
      .toEqual([1.35, 0.05, undefined, undefined, undefined, undefined])
  })

  it('are rejected when fields are missing', () => {
    const decode = (key: string, value: string): string => {
      try {
        const { promotionLease, group } = createSnapshot([{ key, value, version: 1 }], 1, 0)
        return promotionLease.row === undefined && group('g').row === undefined ? 'nothing' : 'decoded'
      } catch {
        return 'refused'
      }
    }
    expect([
      decode('host/h', '{"address":"a","port":1,"failureDomain":"x"}'),
      decode('host/h', '{"address":"a","port":1.5,"failureDomain":"x","process":"p"}'),
      decode('group/g', GROUP.replace('"closed"', '"other"')),
      decode('group/g', GROUP.replace('"succession"', '"other"')),
      decode('duty/promotion', '{"holder":"h1","process":"p1","fence":2}'),
      decode('group/g', GROUP),
      decode('other/x', 'text')
    ]).toEqual(['refused', 'refused', 'refused', 'refused', 'refused', 'decoded', 'nothing'])
  })
})

describe('the row of a host with a capacity', () => {
  const suite = setUpWorld(['h1'], undefined, { h1: { coreShare: 0.27, cores: 5 } })

  it('holds it in units', () => {
    const { value } = suite.world.store.tables.get('worksward')!.get('host/h1')!
    const { port, process } = JSON.parse(value) as Record<string, unknown>
    expect(value).toEqual(
      `{"address":"127.0.0.1","port":${port},"failureDomain":"x","process":"${process}","capacity":1.35}`)
  })
})

describe('the row of a host', () => {
  const suite = setUpWorld(['h1', 'h2'])
  const rowOf = (host: string): string => suite.world.store.tables.get('worksward')!.get(`host/${host}`)!.value

  it('lists the primaries that the process no longer uses', async () => {
    const registry = suite.world.hosts.get('h1')!.kernel.use('registry')
    const { process } = registry.self
    const { port } = JSON.parse(rowOf('h1')) as { port: number }
    const before = `{"address":"127.0.0.1","port":${port},"failureDomain":"x","process":"${process}"`
    expect(rowOf('h1')).toEqual(`${before}}`)
    await suite.settle(registry.publishStopped('g', 5))
    await suite.settle(registry.publishStopped('other', 2))
    expect(rowOf('h1')).toEqual(`${before},"stopped":{"g":5,"other":2}}`)
  })

  it('tells when a process that replaces another one can have started', async () => {
    const { version } = suite.world.store.tables.get('worksward')!.get('host/h2')!
    await suite.world.kill('h2')
    await suite.world.startHost('h2')
    await suite.clock.tickAsync(200)
    const { port, process, startedAtMs } = JSON.parse(rowOf('h2')) as Record<string, unknown>
    expect(rowOf('h2')).toEqual(`{"address":"127.0.0.1","port":${String(port)},"failureDomain":"x",` +
      `"process":"${String(process)}","replaces":${version},"startedAtMs":${String(startedAtMs)}}`)
    expect(typeof startedAtMs).toEqual('number')
  })
})
