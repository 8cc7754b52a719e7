/** Runs an experiment with the naive proxy in place of worksward. */
import { EMBEDDED_ACCOUNT, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../../src/emulation/embedded/sizes.ts'
import type { Deployment } from '../../src/emulation/embedded/deployment.ts'
import { runExperiment, type ExperimentOptions, type ExperimentResult } from '../../src/emulation/load/experiment.ts'
import type { HistoryEvent } from '../../src/emulation/load/history.ts'
import { pause } from '../../src/core/time/deadline.ts'
import type { SocketListener } from '../../src/core/wire/listener.ts'
import { startNaiveProxy, type NaiveOptions } from './naive-proxy.ts'

const GROUP = 'member-a'
/** Limit of a scripted run, in milliseconds; usually its operations end it earlier. */
const SCRIPT_TIMEOUT_MS = 60_000
const POLL_MS = 5

/** Order of events of a run that does not depend on the speed of the machine. */
export interface NaiveScript {
  /** Replicas that get no records of the primary during the run. */
  heldReplicas: 'one' | 'all'
  /** Operations after which the run ends. */
  operations: number
  /** Whether the primary then crashes, and comes back once another upstream leads. */
  crashes?: boolean
}

/** Plays a script against a deployment. */
class ScriptPlayer {
  readonly ended = new AbortController()
  private operations = 0
  private readonly script: NaiveScript
  private deployment: Deployment | undefined

  constructor (script: NaiveScript) {
    this.script = script
  }

  begin (deployment: Deployment): void {
    this.deployment = deployment
    const primary = deployment.primaryOf(GROUP).upstream.name
    const replicas = [...deployment.standins.groups.get(GROUP)!.keys()].filter((name) => name !== primary)
    const held = this.script.heldReplicas === 'all' ? replicas : replicas.slice(0, 1)
    held.forEach((replica) => deployment.standins.cutReplication(replica, primary))
  }

  /** Counts an operation that succeeded. */
  count (): void {
    this.operations++
    if (this.operations === this.script.operations) {
      const ending = this.script.crashes === true ? this.replacePrimary() : Promise.resolve()
      void ending.finally(() => this.ended.abort())
    }
  }

  private async replacePrimary (): Promise<void> {
    const old = this.deployment!.primaryOf(GROUP)
    await old.crash()
    while (this.deployment!.primaryOf(GROUP) === old) {
      await pause(POLL_MS)
    }
    await old.restart()
  }
}

/**
 * Runs an experiment against the naive proxy.
 *
 * @param options - seed, faults and workload
 * @param naiveOptions - flaws of the naive proxy to enable
 * @param script - order of events in place of the faults and the duration, if any
 * @returns history and violations, as callers saw them
 */
export async function runNaive (
  options: ExperimentOptions, naiveOptions: Partial<NaiveOptions> = {}, script?: NaiveScript
): Promise<ExperimentResult> {
  const player = script === undefined ? undefined : new ScriptPlayer(script)
  const servers: SocketListener[] = []
  const targetOf = async (deployment: Deployment) => {
    const upstreams = [...deployment.standins.groups.get(GROUP)!]
    const access = upstreams.map(([name, { port }]) =>
      ({ name, address: '127.0.0.1', port, ...EMBEDDED_ACCOUNT, database: GROUP }))
    const primary = deployment.primaryOf(GROUP).upstream.name
    servers.push(await startNaiveProxy({
      primary: access.find(({ name }) => name === primary)!,
      replicas: access.filter(({ name }) => name !== primary),
      user: EMBEDDED_SERVICE,
      password: EMBEDDED_PASSWORD,
      ...naiveOptions
    }))
    player?.begin(deployment)
    const proxies = servers.map(({ port }) => ({ address: '127.0.0.1', port }))
    return { proxies, user: EMBEDDED_SERVICE, password: EMBEDDED_PASSWORD, database: GROUP }
  }
  try {
    const scripted = player === undefined ? {} : scriptedOptions(options, player)
    return await runExperiment({ ...options, ...scripted, targetOf })
  } finally {
    await Promise.all(servers.map(async (server) => await server.close()))
  }
}

function scriptedOptions ({ workload }: ExperimentOptions, player: ScriptPlayer): Partial<ExperimentOptions> {
  const onEvent = ({ outcome }: HistoryEvent): void => { outcome.type === 'done' && player.count() }
  return {
    faults: [],
    workload: { ...workload, durationMs: SCRIPT_TIMEOUT_MS, onEvent, stopping: player.ended.signal }
  }
}
