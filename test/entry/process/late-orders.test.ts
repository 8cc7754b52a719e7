import { describe, it } from 'node:test'
import { expect } from 'earl'
import { PROMOTION_LEASE_MS } from '../../../src/entry/leadership/promotion-lease.ts'
import {
  checkKeptOnce, checkOnePrimary, checkStaleReads, collectEvidence, type Operation
} from '../../fixtures/fleet/history.ts'
import { setUpWorld } from '../../fixtures/fleet/set-up.ts'

const HOSTS = ['h1', 'h2', 'h3']
const STEP_MS = 50
/** Duration of a run; longer than any order may take to be carried out, with a failover before and after. */
const RUN_MS = 16_000
/** Maximum time from recording an order until it arrives, in milliseconds. */
const LATENCY_MS = 100

describe('an order to promote that is carried out after its sender has given it up', () => {
  const suite = setUpWorld(HOSTS)
  const upstream = (name: string) => suite.world.upstreams.all.get(name)!

  /** Calls a function for the first order, with the host that gives it and the upstream that it names. */
  const onFirstOrder = (react: (host: string, ordered: string) => void, event = 'failover.promoting'): void => {
    let seen = false
    suite.world.logger = {
      log: (_level, logged, fields) => {
        if (logged === event && !seen) {
          seen = true
          react(String(fields?.['host']), String(fields?.['upstream']))
        }
      }
    }
  }
  const operate = async (type: Operation['type'], host: string, operations: Operation[]): Promise<void> => {
    const startedAt = performance.now()
    const caller = suite.world.connect(host, 'money')
    const { id, ...answer } = await (type === 'write' ? caller.write() : caller.read())
    operations.push({
      id, type, session: 0, group: 'g', maximumAgeMs: 0, ownWrites: false, startedAt, endedAt: performance.now(), answer
    })
  }
  /** Crashes the primary, sends requests at all running hosts, and returns what the checks find. */
  const play = async (): Promise<string[]> => {
    const operations: Operation[] = []
    const startedAt = performance.now()
    upstream('g-a').crash()
    for (let turn = 0; turn * STEP_MS < RUN_MS; turn++) {
      const host = HOSTS[turn % HOSTS.length]!
      if (suite.world.hosts.get(host)!.kernel.dump()['entry'] !== undefined) {
        void operate(turn % 2 === 0 ? 'write' : 'read', host, operations)
      }
      await suite.clock.tickAsync(STEP_MS)
    }
    await suite.clock.tickAsync(2000)
    const evidence = collectEvidence(operations, suite.world.upstreams)
    const found = [checkOnePrimary, checkKeptOnce, checkStaleReads].flatMap((check) => check(evidence))
    const last = operations.findLast(({ type, answer }) => type === 'write' && answer.failure === undefined)
    const serves = (last?.endedAt ?? 0) > startedAt + RUN_MS - 2000
    return serves ? found.slice(0, 3) : [...found.slice(0, 3), 'no write succeeds after the failover']
  }

  it('makes no second primary if its answer is lost and the upstream cannot be reached', async () => {
    suite.world.orderFates.push({ answered: false }, { answered: false, carriedOutAfterMs: 4500 })
    onFirstOrder((host, ordered) => upstream(ordered).cutOff.add(host))
    expect(await play()).toEqual([])
    expect(suite.world.arrivedOrders.map((order) => order.upstream).slice(0, 3)).toEqual(['g-b', 'g-b', 'g-c'])
  })

  it('makes no second primary if its sender has died and another host continues', async () => {
    suite.world.orderFates.push({ answered: false, carriedOutAfterMs: 4000 })
    onFirstOrder((host, ordered) => {
      HOSTS.forEach((name) => upstream(ordered).cutOff.add(name))
      setTimeout(() => {
        // What a killed host still runs in this process must not reach anything.
        suite.world.store.cutOff.add(host)
        suite.world.upstreams.all.forEach(({ cutOff }) => cutOff.add(host))
        void suite.world.kill(host)
      }, 50)
    })
    expect(await play()).toEqual([])
    expect(suite.world.arrivedOrders.some((order) => order.upstream === 'g-c')).toEqual(true)
  })

  it('makes no second primary if it was accepted', async () => {
    suite.world.orderFates.push({ answered: true, carriedOutAfterMs: 4000 })
    expect(await play()).toEqual([])
    expect(suite.world.arrivedOrders.map((order) => order.upstream)).toEqual(['g-b', 'g-c'])
  })

  it('makes no second primary if its sender refuses connections', async () => {
    suite.world.orderFates.push({ answered: false, carriedOutAfterMs: 2500 })
    onFirstOrder((host, ordered) => {
      HOSTS.filter((name) => name !== host).forEach((name) => upstream(ordered).cutOff.add(name))
      suite.world.store.cutOff.add(host)
      suite.world.hosts.get(host)!.running = false
      setTimeout(() => {
        suite.world.store.cutOff.delete(host)
        suite.world.hosts.get(host)!.running = true
        upstream(ordered).cutOff.clear()
      }, 8000)
    })
    expect(await play()).toEqual([])
    const [first] = suite.world.arrivedOrders
    const second = suite.world.arrivedOrders.find(({ holder }) => holder !== first?.holder)
    expect(second!.at - first!.at > PROMOTION_LEASE_MS - LATENCY_MS).toEqual(true)
  })

  it('is not sent if the lease passes while its sender connects', async () => {
    suite.world.orderFates.push({ answered: true, carriedOutAfterMs: 0, connectMs: 7000 })
    let sender = 'nobody'
    onFirstOrder((host) => {
      sender = host
      suite.world.store.cutOff.add(host)
      suite.world.silent.add(host)
    })
    await play()
    expect(suite.world.arrivedOrders.filter(({ holder }) => holder === sender)).toEqual([])
  })

  it('is not sent once its sender has stopped', async () => {
    let stopped = 'nobody'
    onFirstOrder((host) => {
      stopped = host
      void suite.world.kill(host)
    }, 'failover.old-primary')
    expect(await play()).toEqual([])
    expect(suite.world.arrivedOrders.filter(({ holder }) => holder === stopped)).toEqual([])
  })
})
