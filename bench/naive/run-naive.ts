/** Runs an experiment with the naive proxy in place of worksward. */
import { EMBEDDED_ACCOUNT, EMBEDDED_PASSWORD, EMBEDDED_SERVICE } from '../../src/emulation/embedded/sizes.ts'
import type { Deployment } from '../../src/emulation/embedded/deployment.ts'
import { runExperiment, type ExperimentOptions, type ExperimentResult } from '../../src/emulation/load/experiment.ts'
import type { SocketListener } from '../../src/core/wire/listener.ts'
import { startNaiveProxy, type NaiveOptions } from './naive-proxy.ts'

const GROUP = 'member-a'

/**
 * Runs an experiment against the naive proxy.
 *
 * @param options - seed, faults and workload
 * @param naiveOptions - flaws of the naive proxy to enable
 * @returns history and violations, as callers saw them
 */
export async function runNaive (
  options: ExperimentOptions, naiveOptions: Partial<NaiveOptions> = {}
): Promise<ExperimentResult> {
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
    const proxies = servers.map(({ port }) => ({ address: '127.0.0.1', port }))
    return { proxies, user: EMBEDDED_SERVICE, password: EMBEDDED_PASSWORD, database: GROUP }
  }
  try {
    return await runExperiment({ ...options, targetOf })
  } finally {
    await Promise.all(servers.map(async (server) => await server.close()))
  }
}
