/** Runs a workload with scheduled faults against an embedded deployment and checks what callers observed. */
import { startDeployment, type Deployment } from '../embedded/deployment.ts'
import { ASSOCIATION_SIZES, EMBEDDED_ACCOUNT, EMBEDDED_PASSWORD, EMBEDDED_SERVICE, type DeploymentSizes } from '../embedded/sizes.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { CallerTarget } from './caller.ts'
import { checkHistory } from './checks/index.ts'
import { FAULTS, type EndFault, type ScheduledFault } from './faults.ts'
import { fillRegisters, readFinalState, type UpstreamLogin } from './final-state.ts'
import type { History, HistoryEvent, Violation } from './history.ts'
import { createRandom } from './random.ts'
import { FULL_MIX, runWorkload, type WorkloadOptions } from './workload.ts'

/** Options of {@link runExperiment}. */
export interface ExperimentOptions {
  seed: number
  sizes?: Partial<DeploymentSizes>
  faults: ScheduledFault[]
  workload?: Partial<Omit<WorkloadOptions, 'target' | 'seed'>>
  logger?: Logger
  /** Returns where callers connect; by default, the proxies of the deployment. */
  targetOf?: (deployment: Deployment) => Promise<CallerTarget>
}

/** Result of a finished run. */
export interface ExperimentResult {
  history: History
  violations: Violation[]
  /** The injected faults with their actual start times and durations. */
  faults: ScheduledFault[]
  /** Reads served by replicas, as counted by the proxies. */
  readsOnReplicas: number
  readsOnPrimary: number
}

const SETTLE_MS = 50
/** Time the upstreams may take to converge after the last fault, in milliseconds. */
const CONVERGENCE_TIMEOUT_MS = 15_000

/**
 * Runs an experiment.
 *
 * @param options - seed, sizes, faults and workload
 * @returns history and violations
 */
export async function runExperiment (options: ExperimentOptions): Promise<ExperimentResult> {
  const sizes = { ...ASSOCIATION_SIZES, groups: ['member-a'], ...options.sizes }
  const group = sizes.groups[0]!
  const deployment = await startDeployment({ sizes, logger: options.logger })
  try {
    const target = await (options.targetOf ?? callerTarget)(deployment)
    const startTotal = await fillRegisters({ ...target.proxies[0]!, ...target })
    const durationMs = options.workload?.durationMs ?? 2000
    const injecting = injectFaults(deployment, group, options)
    const events = await runWorkload({
      target,
      seed: options.seed,
      sessions: 8,
      mix: FULL_MIX,
      roaming: 0.2,
      handles: ['token', 'id', 'connection'],
      thinkMs: 2,
      ...options.workload,
      durationMs
    })
    const faults = await injecting
    await waitForConvergence(deployment, group)
    const final = await readFinalState(primaryLogin(deployment, group))
    const history: History = { events: sortEvents(events), final, startTotal }
    const counts = deployment.proxies.map(({ kernel }) => kernel.use('routing').counts())
    return {
      history,
      violations: checkHistory(history),
      faults,
      readsOnReplicas: counts.reduce((sum, { readsOnReplicas }) => sum + readsOnReplicas, 0),
      readsOnPrimary: counts.reduce((sum, { readsOnPrimary }) => sum + readsOnPrimary, 0)
    }
  } finally {
    await deployment.close()
  }
}

/**
 * Returns the default target of callers.
 *
 * @param deployment - the deployment
 * @returns its proxies and the embedded service
 */
async function callerTarget (deployment: Deployment): Promise<CallerTarget> {
  return {
    proxies: deployment.proxies.map(({ callerPort }) => ({ address: '127.0.0.1', port: callerPort })),
    user: EMBEDDED_SERVICE,
    password: EMBEDDED_PASSWORD,
    database: Object.keys(deployment.declarations.groups)[0]!
  }
}

/**
 * Returns the login of a group's primary.
 *
 * @param deployment - the deployment
 * @param group - the group
 */
function primaryLogin (deployment: Deployment, group: string): UpstreamLogin {
  const { port } = deployment.primaryOf(group)
  return { address: '127.0.0.1', port, ...EMBEDDED_ACCOUNT, database: group }
}

async function injectFaults (
  deployment: Deployment, group: string, { faults, seed }: ExperimentOptions
): Promise<ScheduledFault[]> {
  const random = createRandom(seed + 7919)
  const startedAt = performance.now()
  const since = (): number => performance.now() - startedAt
  return await Promise.all(faults.map(async (fault) => {
    await pause(fault.atMs)
    const begunAt = since()
    const end: EndFault = await FAULTS[fault.name](deployment, group, random)
    await pause(fault.durationMs)
    await end()
    return { name: fault.name, atMs: begunAt, durationMs: since() - begunAt }
  }))
}

/** Ends all partitions and waits until the logs of all upstreams end at the same position. */
async function waitForConvergence (deployment: Deployment, group: string): Promise<void> {
  deployment.network.mend()
  deployment.standins.mendReplication()
  await deployment.waitForPrimaries()
  const until = performance.now() + CONVERGENCE_TIMEOUT_MS
  const ends = (): Set<string> => new Set([...deployment.standins.groups.get(group)!.values()]
    .map(({ upstream }) => JSON.stringify(upstream.log.end)))
  while (ends().size > 1) {
    if (performance.now() > until) {
      throw new Error('timed out waiting for the upstreams to converge')
    }
    await pause(SETTLE_MS)
  }
}

function sortEvents (events: HistoryEvent[]): HistoryEvent[] {
  return [...events].sort((left, right) => left.startedAt - right.startedAt)
}
