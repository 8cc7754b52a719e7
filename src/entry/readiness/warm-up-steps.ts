/**
 * Steps of the warm-up: links to the homes of the upstreams and to the owners of limits, a proof of freshness for each
 * group that needs one, and connections to the upstreams that this host is a home of. Each step is bounded in the
 * number of hosts, organisations and connections, also with thousands of organisations.
 */
import { sampleItems } from '../../core/random.ts'
import type { DesiredStateInForce } from '../desired-state/index.ts'
import type { Directory, KnownUpstream } from '../directory/index.ts'
import type { FreshnessService } from '../freshness/index.ts'
import type { Homes } from '../homes/index.ts'
import type { Leadership } from '../leadership/index.ts'
import type { Limits } from '../limits/index.ts'
import type { Pools } from '../pools/index.ts'
import type { DesiredState } from '../ports/index.ts'
import type { KnownHost, Registry } from '../registry/index.ts'
import type { StepProgress, WarmUpPlan } from './warm-up.ts'

/** Number of hosts that are asked whether they are ready. */
const ASKED_HOSTS = 4
/** Number of links opened at the same time; opening one costs 1.3 ms of processor time at each end. */
const LINKS_AT_ONCE = 8
/** Number of connections to open to an upstream, each for another organisation where organisations are declared. */
const CONNECTIONS_PER_UPSTREAM = 2
/** Number of organisations considered for connections and for links to owners: those with the highest limits. */
const MAXIMUM_ORGANISATIONS = 64

/** Services that the steps need. */
interface WarmUpServices {
  registry: Pick<Registry, 'self' | 'peers' | 'isRegistered' | 'onChange'>
  directory: Pick<Directory, 'all' | 'get'>
  desiredState: Pick<DesiredStateInForce, 'current'>
  homes: Pick<Homes, 'of' | 'isHome' | 'preferredBy' | 'isReady'>
  limits: Pick<Limits, 'ownerOf'>
  freshness: Pick<FreshnessService, 'fetch'>
  leadership: Pick<Leadership, 'primaryOf'>
  pools: Pick<Pools, 'of'>
}

/**
 * Creates the plan of the warm-up. Its steps begin once this host is registered.
 *
 * @param services - services of the entry process
 * @returns the plan
 */
export function createWarmUpPlan (services: WarmUpServices): WarmUpPlan {
  const { registry } = services
  const registered = new Promise<void>((resolve) => registry.onChange(() => registry.isRegistered() && resolve()))
  return {
    isReturnOfAll: async () => {
      if (!registry.isRegistered()) {
        await registered
      }
      return await isReturnOfAll(services)
    },
    steps: {
      links: async (progress) => await openLinks(services, progress),
      proofs: async (progress) => await fetchProofs(services, progress),
      connections: async (progress) => await openConnections(services, progress)
    }
  }
}

/** Asks some hosts whether they are ready, and returns whether fewer than half of them are. */
async function isReturnOfAll ({ registry, homes }: WarmUpServices): Promise<boolean> {
  const asked = sampleItems(registry.peers(), ASKED_HOSTS)
  const answers = await Promise.all(asked.map(async (host) => await homes.isReady(host)))
  return answers.filter(Boolean).length * 2 < asked.length
}

/** Names of the organisations with the highest limits. */
function largestOrganisations (state: DesiredState | undefined): string[] {
  return [...state?.organisations.values() ?? []]
    .sort((left, right) => (right.limit?.perSecond ?? 0) - (left.limit?.perSecond ?? 0))
    .slice(0, MAXIMUM_ORGANISATIONS)
    .map(({ name }) => name)
}

async function openLinks (
  { registry, directory, desiredState, homes, limits }: WarmUpServices, progress: StepProgress
): Promise<void> {
  const owners = largestOrganisations(desiredState.current).map((name) => limits.ownerOf(name))
  const hosts = [...directory.all().flatMap((upstream) => homes.of(upstream)), ...owners]
    .filter((host): host is KnownHost => host !== undefined && host.name !== registry.self.name)
  const others = new Map(hosts.map((host) => [host.name, host]))
  progress.wanted = others.size
  const waiting = [...others.values()]
  const openInTurn = async (): Promise<void> => {
    for (let host = waiting.shift(); host !== undefined; host = waiting.shift()) {
      const isReady = await homes.isReady(host)
      progress.ready += isReady === undefined ? 0 : 1
    }
  }
  await Promise.all(Array.from({ length: LINKS_AT_ONCE }, openInTurn))
}

/** Fetches a proof for each group with routes whose reads need not go to the primary. */
async function fetchProofs (
  { directory, desiredState, homes, freshness, leadership }: WarmUpServices, progress: StepProgress
): Promise<void> {
  const maximumAges = new Map<string, number>()
  for (const { group, freshness: required } of desiredState.current?.routes.values() ?? []) {
    if (required.type !== 'primary') {
      maximumAges.set(group, Math.min(required.maximumAgeMs, maximumAges.get(group) ?? Infinity))
    }
  }
  progress.wanted = maximumAges.size
  await Promise.all([...maximumAges].map(async ([group, maximumAgeMs]) => {
    const primary = directory.get(leadership.primaryOf(group) ?? '')
    const found = await freshness.fetch(
      group, performance.now() - maximumAgeMs, primary === undefined ? [] : homes.of(primary))
    progress.ready += found ? 1 : 0
  }))
}

async function openConnections (
  { registry, directory, desiredState, homes, pools }: WarmUpServices, progress: StepProgress
): Promise<void> {
  const organisations = largestOrganisations(desiredState.current)
  const organisationsOf = (upstream: KnownUpstream): string[] => organisations.length === 0
    ? Array.from({ length: CONNECTIONS_PER_UPSTREAM }, () => '')
    : organisations.filter((name) => homes.preferredBy(upstream, name)?.name === registry.self.name)
      .slice(0, CONNECTIONS_PER_UPSTREAM)
  const opened = directory.all().filter((upstream) => !upstream.draining && homes.isHome(upstream))
    .flatMap((upstream) => organisationsOf(upstream).map(async (organisation) => {
      progress.wanted++
      const isOpen = await pools.of(upstream).pool.openAhead(organisation)
      progress.ready += isOpen ? 1 : 0
    }))
  await Promise.all(opened)
}
