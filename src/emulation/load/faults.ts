/** Fault injection, and fault schedules generated from a seed. */
import type { Deployment } from '../embedded/deployment.ts'
import type { RandomSource } from './random.ts'

/** Names of all faults. */
export const FAULT_NAMES = [
  'crash-primary', 'pause-primary', 'cut-primary', 'cut-replication', 'lag-replica', 'platform-outage',
  'platform-slow', 'lose-commit', 'lose-write', 'lose-promotion', 'kill-proxy', 'isolate-proxy', 'isolate-keeper'
] as const

/** One of {@link FAULT_NAMES}. */
export type FaultName = typeof FAULT_NAMES[number]

/** A fault with its start time and duration. */
export interface ScheduledFault {
  name: FaultName
  /** Start, in milliseconds since the start of the run. */
  atMs: number
  /** Duration, in milliseconds. */
  durationMs: number
}

/** Ends a fault. */
export type EndFault = () => Promise<void> | void

/** Injects a fault into a group of a deployment and returns a function that ends it. */
type BeginFault = (deployment: Deployment, group: string, random: RandomSource) => Promise<EndFault> | EndFault

const LONG_LAG_MS = 800
const SLOW_MS = 700
const LOST_ANSWERS = 2

/** Injectors by fault name. */
export const FAULTS: Record<FaultName, BeginFault> = {
  'crash-primary': async (deployment, group) => {
    const primary = deployment.primaryOf(group)
    await primary.crash()
    return async () => await primary.restart()
  },
  'pause-primary': (deployment, group) => {
    const { upstream } = deployment.primaryOf(group)
    upstream.paused = true
    return () => {
      upstream.paused = false
      upstream.resume()
    }
  },
  'cut-primary': (deployment, group) => {
    const { name } = deployment.primaryOf(group).upstream
    deployment.network.isolate(name)
    cutAllReplication(deployment, group, name)
    return () => mend(deployment)
  },
  'cut-replication': (deployment, group) => {
    cutAllReplication(deployment, group, deployment.primaryOf(group).upstream.name)
    return () => deployment.standins.mendReplication()
  },
  'lag-replica': (deployment, group, random) => {
    const primary = deployment.primaryOf(group)
    const replicas = [...deployment.standins.groups.get(group)!.values()].filter((server) => server !== primary)
    const { upstream } = random.pick(replicas)
    const before = upstream.lagMs
    upstream.lagMs = LONG_LAG_MS
    return () => { upstream.lagMs = before }
  },
  'platform-outage': ({ standins }) => {
    standins.platform.faults.outage = true
    return () => { standins.platform.faults.outage = false }
  },
  'platform-slow': ({ standins }) => {
    standins.platform.faults.slowMs = SLOW_MS
    return () => { standins.platform.faults.slowMs = 0 }
  },
  'lose-commit': (deployment, group) => loseAnswers(deployment, group, 'worksward_commit'),
  'lose-write': (deployment, group) => loseAnswers(deployment, group, 'INSERT'),
  'lose-promotion': async (deployment, group) => {
    const endLoss = loseAnswers(deployment, group, 'worksward_promote')
    const primary = deployment.primaryOf(group)
    await primary.crash()
    return async () => {
      await endLoss()
      await primary.restart()
    }
  },
  'kill-proxy': async (deployment, _group, random) => {
    const index = random.integer(0, deployment.proxies.length - 1)
    const proxy = deployment.proxies[index]!
    const { callerPort } = proxy
    await deployment.kill(proxy)
    return async () => await deployment.replaceProxy(index, callerPort)
  },
  'isolate-proxy': (deployment, _group, random) => {
    deployment.network.isolate(random.pick(deployment.proxies).name)
    return () => mend(deployment)
  },
  'isolate-keeper': (deployment, _group, random) => {
    deployment.network.isolate(random.pick(deployment.keepers).name)
    return () => mend(deployment)
  }
}

/**
 * Generates a schedule of evenly spaced faults, of which neighbours may overlap.
 *
 * @param random - random source
 * @param durationMs - length of the run, in milliseconds
 * @param count - number of faults
 * @returns the schedule
 */
export function scheduleFaults (random: RandomSource, durationMs: number, count: number): ScheduledFault[] {
  const spacing = durationMs / (count + 1)
  return Array.from({ length: count }, (_value, index) => ({
    name: random.pick(FAULT_NAMES),
    atMs: spacing * (index + random.integer(50, 100) / 100),
    durationMs: random.integer(20, 120) / 100 * spacing
  }))
}

function cutAllReplication (deployment: Deployment, group: string, primary: string): void {
  for (const name of deployment.standins.groups.get(group)!.keys()) {
    if (name !== primary) {
      deployment.standins.cutReplication(name, primary)
    }
  }
}

function loseAnswers (deployment: Deployment, group: string, operation: string): EndFault {
  const servers = [...deployment.standins.groups.get(group)!.values()]
  servers.forEach(({ faults }) => faults.loseAnswers.set(operation, LOST_ANSWERS))
  return () => servers.forEach(({ faults }) => { faults.loseAnswers.delete(operation) })
}

function mend (deployment: Deployment): void {
  deployment.network.mend()
  deployment.standins.mendReplication()
}
