import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { FakeUpstream } from '../../fixtures/fleet/upstreams.ts'
import { MONEY, setUpWorld } from '../../fixtures/fleet/set-up.ts'

const HOSTS = ['h1', 'h2', 'h3']
const WRITE_INTERVAL_MS = 50
const QUIET_MS = 1000
/** Time from the first disruption to the crash of the primary, in milliseconds. */
const DISRUPTED_MS = 1000
/** Time within which a failover ends whose replicas answer, in milliseconds. */
const FAILOVER_MS = 3000
/** Time for which the hosts leave a group alone after a failover that could not be completed, in milliseconds. */
const REPEATED_MS = 6000

describe('a failover of a group with synchronous replicas', () => {
  const suite = setUpWorld(HOSTS)
  const upstream = (name: string): FakeUpstream => suite.world.upstreams.all.get(name)!
  const acknowledged: string[] = []
  const writing = { isOn: false }

  /** Writes on all hosts until `finish`, and records the acknowledged commits. */
  const start = async (synchronousReplicas = 1): Promise<void> => {
    acknowledged.length = 0
    suite.world.upstreams.synchronousReplicas = synchronousReplicas
    suite.world.configure([MONEY])
    await suite.clock.tickAsync(QUIET_MS)
    writing.isOn = true
    for (const host of HOSTS) {
      void writeAt(host)
    }
    await suite.clock.tickAsync(QUIET_MS)
  }
  const writeAt = async (host: string): Promise<void> => {
    while (writing.isOn) {
      const { failure, signature } = await suite.world.connect(host, 'money').write()
      if (failure === undefined) {
        acknowledged.push(String(signature))
      }
      await new Promise((resolve) => setTimeout(resolve, WRITE_INTERVAL_MS))
    }
  }
  const finish = async (): Promise<void> => {
    writing.isOn = false
    await suite.clock.tickAsync(QUIET_MS)
  }
  const promoted = (): string[] => suite.world.upstreams.promotions.map(({ upstream: name }) => name)
  /** Acknowledged commits that a promotion has rolled back. */
  const lost = (): string[] => [...suite.world.upstreams.rolledBack]
    .filter((token) => acknowledged.some((signature) => signature.endsWith(token)))
  const drain = (name: string): void => {
    upstream(name).draining = true
    suite.world.announce(upstream(name))
  }
  const crashPrimary = async (): Promise<void> => {
    await suite.clock.tickAsync(DISRUPTED_MS)
    upstream('g-a').crash()
  }

  // Guards against ranking draining upstreams last whatever their logs have: acknowledged commits were lost.
  it('promotes a draining replica if only that one has the acknowledged commits', async () => {
    await start()
    drain('g-b')
    upstream('g-c').deaf = true
    await crashPrimary()
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual(['g-b'])
    upstream('g-c').deaf = false
    await finish()
    expect(lost()).toEqual([])
  })

  it('promotes the one with the furthest log of two that drain, and a new one after it has caught up', async () => {
    await start()
    drain('g-b')
    drain('g-c')
    upstream('g-b').deaf = true
    await crashPrimary()
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual(['g-c'])
    suite.world.upstreams.recover(upstream('g-a'))
    suite.world.announce(upstream('g-a'))
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual(['g-c', 'g-a'])
    await finish()
    expect(lost()).toEqual([])
  })

  // Guards against going on with the replicas that answer within 0.3 s.
  it('waits for a replica that answers late', async () => {
    await start()
    upstream('g-c').deaf = true
    await suite.clock.tickAsync(DISRUPTED_MS)
    HOSTS.forEach((host) => upstream('g-b').cutOff.add(host))
    await crashPrimary()
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual([])
    upstream('g-b').cutOff.clear()
    await suite.clock.tickAsync(REPEATED_MS)
    expect(promoted()).toEqual(['g-b'])
    upstream('g-c').deaf = false
    await finish()
    expect(lost()).toEqual([])
  })

  it('waits for a replica that has crashed to return', async () => {
    await start()
    upstream('g-c').deaf = true
    await suite.clock.tickAsync(DISRUPTED_MS)
    upstream('g-a').crash()
    upstream('g-b').crash()
    suite.world.store.remove('servers', 'g-b')
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual([])
    suite.world.upstreams.recover(upstream('g-b'))
    suite.world.announce(upstream('g-b'))
    await suite.clock.tickAsync(REPEATED_MS)
    expect(promoted()).toEqual(['g-b'])
    upstream('g-c').deaf = false
    await finish()
    expect(lost()).toEqual([])
  })

  it('takes the old primary again if it returns while replicas are silent', async () => {
    await start()
    upstream('g-c').deaf = true
    await suite.clock.tickAsync(DISRUPTED_MS)
    HOSTS.forEach((host) => upstream('g-b').cutOff.add(host))
    upstream('g-a').crash()
    await suite.clock.tickAsync(FAILOVER_MS)
    suite.world.upstreams.recover(upstream('g-a'))
    suite.world.announce(upstream('g-a'))
    upstream('g-c').deaf = false
    const before = acknowledged.length
    await suite.clock.tickAsync(REPEATED_MS)
    // It still leads its term, so no promotion is needed.
    expect([promoted(), acknowledged.at(-1)?.startsWith('g-a'), acknowledged.length > before]).toEqual([[], true, true])
    await finish()
    expect(lost()).toEqual([])
  })

  it('keeps a draining primary until an upstream that stays has its log', async () => {
    await start()
    upstream('g-c').deaf = true
    drain('g-b')
    await suite.clock.tickAsync(DISRUPTED_MS)
    drain('g-a')
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual([])
    upstream('g-c').deaf = false
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual(['g-c'])
    await finish()
    expect(lost()).toEqual([])
  })

  it('is resumed by another host with the same outcome', async () => {
    await start()
    drain('g-b')
    upstream('g-c').deaf = true
    let ended = ''
    suite.world.logger = {
      log: (_level, event, fields) => {
        if (event === 'failover.promoting' && ended === '') {
          ended = String(fields?.['host'])
          suite.world.store.cutOff.add(ended)
          suite.world.upstreams.all.forEach(({ cutOff }) => cutOff.add(ended))
          void suite.world.kill(ended)
        }
      }
    }
    await crashPrimary()
    await suite.clock.tickAsync(4 * FAILOVER_MS)
    expect(ended === '').toEqual(false)
    expect([...new Set(promoted())]).toEqual(['g-b'])
    upstream('g-c').deaf = false
    await finish()
    expect(lost()).toEqual([])
  })

  // Guards against taking the log of a primary that has started again empty for one that has every commit.
  it('waits for a silent replica after the primary has started again empty, also when another host resumes', async () => {
    await start()
    upstream('g-c').deaf = true
    await suite.clock.tickAsync(DISRUPTED_MS)
    // What the empty primary accepts until the hosts know of its restart is another matter.
    await finish()
    HOSTS.forEach((host) => upstream('g-b').cutOff.add(host))
    suite.world.upstreams.restartEmpty(upstream('g-a'), 'primary')
    suite.world.announce(upstream('g-a'))
    await suite.clock.tickAsync(4 * REPEATED_MS)
    expect(promoted()).toEqual([])
    upstream('g-b').cutOff.clear()
    await suite.clock.tickAsync(2 * REPEATED_MS)
    expect(promoted()).toEqual(['g-b'])
    expect(lost()).toEqual([])
  })

  it('goes on without a silent replica if none is synchronous', async () => {
    await start(0)
    HOSTS.forEach((host) => upstream('g-b').cutOff.add(host))
    await crashPrimary()
    await suite.clock.tickAsync(FAILOVER_MS)
    expect(promoted()).toEqual(['g-c'])
    await finish()
  })
})
