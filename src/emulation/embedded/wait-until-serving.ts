/** Waits until an embedded deployment serves, and closes one that does not. */
import type { Kernel } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Standins } from '../standin/index.ts'

/** Default timeout for the first elections and for the proxies to become ready, in milliseconds. */
export const START_TIMEOUT_MS = 15_000
/** Interval between readiness checks, in milliseconds. */
const POLL_MS = 10

/** The parts of a deployment that has been started. */
interface StartedDeployment {
  standins: Standins
  proxies: Array<{ kernel: Kernel }>
  close: () => Promise<void>
}

/** Waits until every group has a writable primary and all its other upstreams follow it. */
export async function waitForPrimaries (
  standins: Standins, groups: string[], timeoutMs = START_TIMEOUT_MS
): Promise<void> {
  const until = performance.now() + timeoutMs
  while (!groups.every((group) => hasPrimary(standins, group))) {
    if (performance.now() > until) {
      throw new Error('timed out waiting for the groups to elect their primaries')
    }
    await pause(POLL_MS)
  }
}

function hasPrimary (standins: Standins, group: string): boolean {
  const statuses = [...standins.groups.get(group)!.values()].map(({ upstream }) => upstream.status())
  const primary = statuses.find(({ role, term, fencedTerm }) => role === 'primary' && fencedTerm === term)
  return statuses.filter(({ role, term }) => role === 'replica' && term === primary?.term).length === statuses.length - 1
}

/** Waits for all primaries and proxies; closes the deployment if they don't come. */
export async function waitUntilServing (deployment: StartedDeployment, timeoutMs: number): Promise<void> {
  try {
    await waitForPrimaries(deployment.standins, [...deployment.standins.groups.keys()], timeoutMs)
    await waitUntilReady(deployment, timeoutMs)
  } catch (thrown) {
    await deployment.close()
    throw thrown
  }
}

async function waitUntilReady ({ proxies }: StartedDeployment, timeoutMs: number): Promise<void> {
  const until = performance.now() + timeoutMs
  const isReady = ({ kernel }: { kernel: Kernel }): boolean =>
    kernel.use('configuration').ready && kernel.use('membership').available('proxy').length >= proxies.length
  while (!proxies.every(isReady)) {
    if (performance.now() > until) {
      throw new Error('timed out waiting for the proxies to become ready')
    }
    await pause(POLL_MS)
  }
}
