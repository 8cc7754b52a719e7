/**
 * A group of three upstreams, each with its homes among many hosts, in memory and on a paused clock. Callers send reads
 * and transactions of many organisations; the decisions under test are the real ones.
 */
import type { Clock } from '@sinonjs/fake-timers'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { RequestError } from '../../../src/core/errors/index.ts'
import { silentLogger } from '../../../src/core/logger/index.ts'
import { candidateHomes } from '../../../src/entry/homes/candidate-homes.ts'
import { createHomeSelector, type HomeSelector } from '../../../src/entry/homes/home-choice.ts'
import { connectionLimits } from '../../../src/entry/pools/connection-limits.ts'
import type { KnownHost } from '../../../src/entry/registry/index.ts'
import { createUsedUpstreams } from '../../../src/entry/pools/used-upstreams.ts'
import type { KnownUpstream } from '../../../src/entry/directory/index.ts'
import type { UpstreamConnection } from '../../../src/entry/ports/index.ts'
import { acquireConnection } from '../../../src/entry/requests/acquire-connection.ts'
import { chooseReadUpstream } from '../../../src/entry/requests/choose-upstream.ts'
import { homesOf } from '../../../src/placement/upstream-homes.ts'

const SLOTS = 5
const CAP = 56
const OPEN_MS = 12
const DOMAINS = ['x', 'y', 'z']
const SEED = 11

/** Kinds of requests: run time, rate, target and time limit in milliseconds; a transaction has three steps. */
const KINDS = [
  { name: 'scan', perSecond: 17, durationMs: 8, targetMs: 252, timeoutMs: 1000, priority: 0, transactions: 0.25 },
  { name: 'reconcile', perSecond: 79, durationMs: 24, targetMs: 502, timeoutMs: 1000, priority: 1, transactions: 0.12 },
  { name: 'lookup', perSecond: 29, durationMs: 40, targetMs: 1202, timeoutMs: 2000, priority: 2, transactions: 0.1 }
]
type Kind = typeof KINDS[number]

function ignore (): void {}

const pause = async (ms: number): Promise<void> => await new Promise((resolve) => { setTimeout(resolve, ms) })

/** Fault of an upstream: a factor for its run times, and the part of the statements that it fails. */
export interface Fault { slowdown?: number, failedPart?: number }

/** An upstream that runs a fixed number of statements at once, in order of arrival; a new connection takes a slot. */
class SlottedUpstream {
  private free = SLOTS
  private readonly queue: Array<() => void> = []
  opened = 0
  openNow = 0

  constructor (private readonly fault: Fault = {}) {}

  /** Whether the next statement fails. */
  fails (drawn: number): boolean { return drawn < (this.fault.failedPart ?? 0) }

  async run (durationMs: number): Promise<void> {
    this.free > 0 ? this.free-- : await new Promise<void>((resolve) => { this.queue.push(resolve) })
    await pause(durationMs * (this.fault.slowdown ?? 1))
    const next = this.queue.shift()
    next === undefined ? this.free++ : next()
  }

  readonly open = async (): Promise<UpstreamConnection> => {
    if (this.openNow >= CAP) {
      throw new RequestError('not-run', 'UpstreamRefused', { upstream: 'u', reason: 'too-many-connections' })
    }
    this.opened++
    this.openNow++
    await this.run(OPEN_MS)
    const connection = { closed: false, onClose: ignore, close: () => { connection.closed = true; this.openNow-- } }
    return connection as unknown as UpstreamConnection
  }
}

/** What the callers of a load got. */
interface LoadResult {
  /** Fraction of the requests answered within their target, of an organisation, or of a kind from `all`. */
  fractionOf: (organisation: string, kind?: string) => number
  asked: number
  /** Requests answered within their target. */
  inTime: number
  /** Requests refused after all retries. */
  refused: number
  opened: number
  /** Requests answered with a failure of an upstream. */
  failed: number
}

interface LoadOptions {
  clock: Clock
  hosts: number
  /** Weight of each organisation in the load. */
  weights: number[]
  /** Rate of all requests at a time, as a factor of that of {@link KINDS}. */
  rate: (elapsedMs: number) => number
  durationMs: number
  /** Faults of upstreams, by name. */
  faults?: Record<string, Fault>
}

/**
 * Plays a load.
 *
 * @param options - hosts, organisations, rates
 * @returns what the callers got
 */
export async function playGroup (options: LoadOptions): Promise<LoadResult> {
  const group = new GroupUnderLoad(options.hosts, options.faults ?? {})
  const { clock, durationMs } = options
  const arrivals = xoroshiro128plus(SEED)
  const draw = (): number => uniformFloat64(arrivals)
  const choices = xoroshiro128plus(SEED + 1)
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
    for (const kind of KINDS) {
      if (draw() < kind.perSecond * options.rate(elapsedMs) / 1000) {
        const organisation = `o${drawWeighted(options.weights, draw())}`
        void group.request(kind, organisation, () => uniformFloat64(choices))
      }
    }
    await clock.tickAsync(1)
  }
  await clock.tickAsync(5000)
  group.close()
  return { ...group.result, opened: group.opened, fractionOf: group.fractionOf }
}

function drawWeighted (weights: number[], drawn: number): number {
  let left = drawn * weights.reduce((sum, weight) => sum + weight, 0)
  return Math.max(0, weights.findIndex((weight) => (left -= weight) < 0))
}

class GroupUnderLoad {
  readonly result = { asked: 0, inTime: 0, refused: 0, failed: 0 }
  private readonly counts = new Map<string, { asked: number, inTime: number }>()
  private readonly hosts: HostUnderLoad[]
  private readonly upstreams: Map<string, SlottedUpstream>
  private readonly targets = DOMAINS.map((failureDomain, index) => ({
    upstream: `u${index}`, group: 'g', failureDomain, slots: SLOTS, draining: false, endpoint: { address: '', port: 1 }
  }) as KnownUpstream)

  constructor (hosts: number, faults: Record<string, Fault>) {
    this.upstreams = new Map(this.targets.map(({ upstream }) => [upstream, new SlottedUpstream(faults[upstream])]))
    const known = Array.from({ length: hosts }, (_, index) => ({
      name: `h${index}`, process: `h${index}-1`, version: 1, address: '', port: 1, failureDomain: DOMAINS[index % 3]!
    }))
    const homes = new Map(this.targets.map((target) => [target.upstream, homesOf(target, known, CAP)]))
    this.hosts = known.map((host) => new HostUnderLoad(host, this.targets, homes, this.upstreams))
  }

  readonly fractionOf = (organisation: string, kind = ''): number => {
    const { asked, inTime } = this.countOf(organisation, kind)
    return inTime / asked
  }

  private countOf (organisation: string, kind: string): { asked: number, inTime: number } {
    const key = `${organisation} ${kind}`
    const count = this.counts.get(key) ?? { asked: 0, inTime: 0 }
    this.counts.set(key, count)
    return count
  }

  get opened (): number { return [...this.upstreams.values()].reduce((sum, { opened }) => sum + opened, 0) }

  close (): void { this.hosts.forEach((host) => host.close()) }

  async request (kind: Kind, organisation: string, draw: () => number): Promise<void> {
    const counts = [this.result, this.countOf(organisation, ''), this.countOf('all', kind.name)]
    counts.forEach((count) => { count.asked++ })
    const startedAt = performance.now()
    const steps = draw() < kind.transactions ? 3 : 1
    for (let attempt = 0; attempt < 3; attempt++) {
      const host = this.hosts[Math.floor(draw() * this.hosts.length)]!
      try {
        const hostOf = (name: string): HostUnderLoad => this.hosts.find((other) => other.name === name)!
        const failed = await host.serve(kind, organisation, steps, hostOf)
        this.result.failed += failed ? 1 : 0
        const tookMs = performance.now() - startedAt
        counts.forEach((count) => { count.inTime += !failed && tookMs <= kind.targetMs ? 1 : 0 })
        return
      } catch (thrown) {
        await pause((thrown as RequestError<'Overloaded'>).details?.retryAfterMs ?? 50)
      }
    }
    this.result.refused++
  }
}

class HostUnderLoad {
  readonly name: string
  private readonly selector: HomeSelector = createHomeSelector()

  constructor (
    private readonly self: KnownHost, private readonly targets: KnownUpstream[],
    private readonly homes: Map<string, KnownHost[]>, private readonly upstreams: Map<string, SlottedUpstream>
  ) {
    this.name = self.name
  }

  close (): void { [...this.resources.all.keys()].forEach(this.resources.remove) }

  private readonly resources = createUsedUpstreams({
    port: { open: async ({ upstream }) => await this.upstreams.get(upstream)!.open() },
    logger: silentLogger,
    limitsOf: ({ upstream }) => {
      const homes = this.homes.get(upstream)!
      return connectionLimits({ cap: CAP, homes: homes.length, isHome: homes.includes(this.self), uptimeMs: 10_000 })
    },
    homeCountOf: ({ upstream }) => this.homes.get(upstream)!.length,
    metrics: { opened: ignore, closed: ignore }
  })

  private chooseHome (target: KnownUpstream, organisation: string): KnownHost | undefined {
    const homes = this.homes.get(target.upstream)!
    const candidates = candidateHomes(homes, homes.find((home) => home === this.self), organisation)
    const chosen = this.selector.choose(target.upstream, candidates, new Set(), organisation)
    return chosen === this.self ? undefined : chosen
  }

  async serve (
    kind: Kind, organisation: string, steps: number, hostOf: (name: string) => HostUnderLoad
  ): Promise<boolean> {
    const { target, home } = this.choose(kind, organisation)
    if (home === undefined) {
      return (await this.execute(kind, organisation, target, steps)).failed
    }
    const delayMs = home.failureDomain === this.self.failureDomain ? 1 : 2
    const sentAt = performance.now()
    const executing = hostOf(home.name)
    this.selector.recordSent(home, target.upstream)
    try {
      await pause(delayMs)
      const { ranMs, failed } = await executing.execute(kind, organisation, target, steps)
      await pause(delayMs)
      const { queue } = executing.resources.of(target)
      const tookMs = performance.now() - sentAt
      const load = queue.running + queue.waiting
      const { priority, durationMs: costMs } = kind
      const waitMs = queue.waitFor({ organisation, priority, costMs, waitMs: 0, dueInMs: kind.targetMs - tookMs })
      this.selector.recordAnswer(
        home, target.upstream, { load, waitMs, leaving: false }, tookMs - ranMs, priority)
      this.resources.of(target).health.recordLatency(tookMs)
      this.recordOutcome(kind, target, { ranMs: ranMs / steps, failed })
      return failed
    } finally {
      this.selector.recordEnded(home, target.upstream)
    }
  }

  /** Records the outcome of a read. */
  private recordOutcome (kind: Kind, target: KnownUpstream, outcome: { ranMs: number, failed: boolean }): void {
    kind.priority > 0 && this.resources.of(target).health.outcomes.record({ ...outcome, costMs: kind.durationMs })
  }

  private choose (kind: Kind, organisation: string): { target: KnownUpstream, home?: KnownHost } {
    if (kind.priority === 0) {
      const target = this.targets[0]!
      const isServedHere = this.homes.get(target.upstream)!.includes(this.self) &&
        this.resources.of(target).pool.hasRoomFor(organisation)
      return { target, home: isServedHere ? undefined : this.chooseHome(target, organisation) }
    }
    const context = {
      leadership: { primaryOf: () => 'u0' },
      directory: { ofGroup: () => this.targets },
      pools: this.resources,
      homes: {
        isHome: ({ upstream }: KnownUpstream) => this.homes.get(upstream)!.includes(this.self),
        choose: (target: KnownUpstream, _tried: unknown, name: string) => this.chooseHome(target, name),
        inProgressAt: this.selector.inProgressAt,
        waitAt: this.selector.waitAt
      },
      failureDomain: this.self.failureDomain,
      drainMs: 5000
    }
    const { priority, durationMs: costMs, targetMs, timeoutMs } = kind
    const softDeadline = performance.now() + targetMs
    const scope = {
      group: 'g', organisation, triedHomes: new Set(), priority, costMs, softDeadline, deadline: { leftMs: timeoutMs }
    }
    return chooseReadUpstream(context as never, scope as never, {} as never, new Set())!
  }

  /** Runs the steps of a request as a home; returns the time at the upstream. */
  private async execute (
    kind: Kind, organisation: string, target: KnownUpstream, steps: number
  ): Promise<{ ranMs: number, failed: boolean }> {
    const { pool, queue, health } = this.resources.of(target)
    const upstream = this.upstreams.get(target.upstream)!
    const { durationMs, targetMs, timeoutMs, priority } = kind
    const softDeadline = performance.now() + targetMs
    const scope = {
      organisation, values: new Map(), priority, costMs: durationMs, softDeadline, beginsTransaction: steps > 1
    }
    const { lease, releaseSlot } = await acquireConnection(
      { metrics: { queue: ignore } } as never, scope as never, { pool, queue, health }, timeoutMs * 0.45)
    let ranMs = await runStep(upstream, durationMs)
    releaseSlot()
    for (let step = 1; step < steps; step++) {
      lease.setIdleTransaction(true)
      await pause(15)
      lease.setIdleTransaction(false)
      const leaveStep = await queue.enter({
        organisation, costMs: durationMs, dueInMs: softDeadline - performance.now(), priority: -1, waitMs: timeoutMs
      })
      ranMs += 15 + await runStep(upstream, durationMs)
      leaveStep()
    }
    health.recordLatency(ranMs / steps)
    lease.release()
    const outcome = { ranMs, failed: kind.priority > 0 && upstream.fails(Math.random()) }
    this.recordOutcome(kind, target, { ...outcome, ranMs: ranMs / steps })
    return outcome
  }
}

async function runStep (upstream: SlottedUpstream, durationMs: number): Promise<number> {
  const sentAt = performance.now()
  await upstream.run(durationMs)
  return performance.now() - sentAt
}
