/** Runs a whole deployment in one process over loopback: stand-ins, proxies and keepers, each with its own kernel. */
import { randomUUID } from 'node:crypto'
import {
  declarationsSchema, keeperSettingsSchema, proxySettingsSchema, standinSettingsSchema, type Declarations
} from '../../core/config/index.ts'
import type { Kernel } from '../../core/kernel/index.ts'
import { silentLogger, type Logger } from '../../core/logger/index.ts'
import { createConfigurationStore } from '../../mysql-proxy/configuration/configuration-store.ts'
import { doubleSha1 } from '../../mysql/password.ts'
import { hashOperatorKey } from '../../mysql-proxy/operators/authentication.ts'
import { connectPlatform } from '../../mysql-proxy/storage/index.ts'
import { startKeeper } from '../../mysql-proxy/start-keeper.ts'
import { startProxy } from '../../mysql-proxy/start-proxy.ts'
import { startStandins, type Standins } from '../standin/index.ts'
import type { UpstreamServer } from '../standin/upstream-server.ts'
import { createNetwork, type Network } from './network.ts'
import {
  EMBEDDED_ACCOUNT, EMBEDDED_KINDS, EMBEDDED_OPERATOR_KEY, EMBEDDED_PASSWORD, EMBEDDED_SCHEMA, EMBEDDED_SERVICE,
  type DeploymentSizes
} from './sizes.ts'
import { START_TIMEOUT_MS, waitForPrimaries, waitUntilServing } from './wait-until-serving.ts'

const ADDRESS = '127.0.0.1'
const PLATFORM = 'platform'
const PEER_KEY = 'embedded-peer-key-0123456789'

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  sizes: DeploymentSizes
  logger?: Logger
  /** Modifies the declarations before they are applied. */
  adjust?: (declarations: Declarations) => void
  /** Whether to wait until every group has a primary and all proxies are ready; true when absent. */
  waitForPrimaries?: boolean
  /** Time in which that must happen, in milliseconds. */
  startTimeoutMs?: number
}

/** A host that runs one proxy or keeper. */
export interface DeployedHost {
  name: string
  failureDomain: string
  kernel: Kernel
  /** Port that callers connect to; 0 for a keeper. */
  callerPort: number
  httpPort: number
}

/** A running deployment. */
export interface Deployment {
  network: Network
  standins: Standins
  proxies: DeployedHost[]
  keepers: DeployedHost[]
  declarations: Declarations
  /** Starts an additional proxy. */
  addProxy: (name: string, failureDomain: string) => Promise<DeployedHost>
  addKeeper: (name: string, failureDomain: string) => Promise<DeployedHost>
  /** Starts a proxy in place of a killed one, on the same caller port. */
  replaceProxy: (index: number, callerPort: number) => Promise<void>
  /** Cuts a host off the network and stops its process, without a planned shutdown. */
  kill: (host: DeployedHost) => Promise<void>
  /** Returns the stand-in of an upstream. */
  upstream: (group: string, name: string) => UpstreamServer
  /** Returns the primary with the highest term; during a failover, the last known primary. */
  primaryOf: (group: string) => UpstreamServer
  /** Waits until every group has a writable primary and all its other upstreams follow it. */
  waitForPrimaries: () => Promise<void>
  close: () => Promise<void>
}

/** State shared by the processes of a deployment. */
interface SharedParts {
  network: Network
  standins: Standins
  logger: Logger
  platform: PlatformAccess
  /** Peer addresses of the running processes, used as seeds by those started later. */
  seeds: string[]
}

/** Platform settings of the processes. */
type PlatformAccess = ReturnType<typeof accessPlatform>

/**
 * Starts a deployment.
 *
 * @param options - sizes, logger and start conditions
 * @returns the running deployment
 */
export async function startDeployment (options: DeploymentOptions): Promise<Deployment> {
  const { sizes, logger = silentLogger } = options
  const network = createNetwork()
  const standins = await startGroups(sizes, logger)
  network.name(ADDRESS, Number(new URL(standins.platform.endpoint).port), PLATFORM)
  const declarations = buildDeclarations(sizes, standins, network)
  options.adjust?.(declarations)
  const platform = accessPlatform(standins)
  await applyDeclarations(declarations, platform, network)

  const shared: SharedParts = { network, standins, logger, platform, seeds: [] }
  const proxies: DeployedHost[] = []
  const keepers: DeployedHost[] = []
  const addProxy = async (name: string, failureDomain: string): Promise<DeployedHost> => {
    const host = await launchProxy(shared, name, failureDomain)
    proxies.push(host)
    return host
  }
  const addKeeper = async (name: string, failureDomain: string): Promise<DeployedHost> => {
    const host = await launchKeeper(shared, name, failureDomain)
    keepers.push(host)
    return host
  }
  const domainOf = (index: number): string => sizes.failureDomains[index % sizes.failureDomains.length]!
  for (let index = 0; index < sizes.proxies; index++) {
    await addProxy(`proxy-${index + 1}`, domainOf(index))
  }
  for (let index = 0; index < sizes.keepers; index++) {
    await addKeeper(`keeper-${index + 1}`, domainOf(index))
  }

  const deployment: Deployment = {
    network,
    standins,
    proxies,
    keepers,
    declarations,
    addProxy,
    addKeeper,
    replaceProxy: async (index, callerPort) => {
      const { name, failureDomain } = proxies[index]!
      proxies[index] = await launchProxy(shared, `${name}-next`, failureDomain, callerPort)
    },
    kill: async (host) => {
      network.isolate(host.name)
      await host.kernel.close()
    },
    upstream: (group, name) => standins.groups.get(group)!.get(name)!,
    primaryOf: (group) => findPrimary(standins, group),
    waitForPrimaries: async () => await waitForPrimaries(standins, sizes.groups),
    close: async () => {
      await Promise.all([...proxies, ...keepers].map(async ({ kernel }) => await kernel.close()))
      await standins.close()
    }
  }
  if (options.waitForPrimaries !== false) {
    await waitUntilServing(deployment, options.startTimeoutMs ?? START_TIMEOUT_MS)
  }
  return deployment
}

async function startGroups (sizes: DeploymentSizes, logger: Logger): Promise<Standins> {
  return await startStandins(standinSettingsSchema.parse({
    groups: Object.fromEntries(sizes.groups.map((group) => [group, {
      ...pickUpstreamSizes(sizes),
      account: EMBEDDED_ACCOUNT,
      schema: EMBEDDED_SCHEMA,
      upstreams: nameUpstreams(group, sizes)
    }]))
  }), logger)
}

function accessPlatform ({ platform }: Standins) {
  return {
    tableEndpoint: platform.endpoint,
    objectEndpoint: platform.endpoint,
    accessKey: 'worksward',
    secretKey: 'worksward-secret',
    pollMs: 500
  }
}

/** Settings that proxies and keepers have in common. */
function commonSettings ({ platform, seeds }: SharedParts, name: string, failureDomain: string) {
  return {
    host: { name, address: ADDRESS, failureDomain },
    platform,
    peers: { key: PEER_KEY, seeds: [...seeds], heartbeatMs: 100 },
    operators: [
      { name: 'operator', keyHash: hashOperatorKey(EMBEDDED_OPERATOR_KEY), rights: ['read' as const, 'change' as const] }
    ],
    log: { level: 'silent' as const }
  }
}

async function launchProxy (
  shared: SharedParts, name: string, failureDomain: string, callers = 0
): Promise<DeployedHost> {
  const settings = proxySettingsSchema.parse({
    ...commonSettings(shared, name, failureDomain), listen: { callers, peers: 0, http: 0 }
  })
  const kernel = await startProxy(settings, { logger: shared.logger, dialer: shared.network.dialerOf(name) })
  const callerPort = kernel.use('callers').port
  return register(shared, { name, failureDomain, kernel, callerPort, httpPort: kernel.use('operators').port }, 'proxy')
}

async function launchKeeper (shared: SharedParts, name: string, failureDomain: string): Promise<DeployedHost> {
  const settings = keeperSettingsSchema.parse({
    ...commonSettings(shared, name, failureDomain), listen: { peers: 0, http: 0 }
  })
  const kernel = await startKeeper(settings, { logger: shared.logger, dialer: shared.network.dialerOf(name) })
  const httpPort = kernel.use('operators').port
  return register(shared, { name, failureDomain, kernel, callerPort: 0, httpPort }, 'keeper')
}

/** Registers a started process with the network and in the platform's list of hosts. */
function register ({ network, standins, seeds }: SharedParts, host: DeployedHost, role: 'proxy' | 'keeper'): DeployedHost {
  const { port } = host.kernel.use('peers')
  network.name(ADDRESS, port, host.name)
  seeds.push(`${ADDRESS}:${port}`)
  const { name, failureDomain } = host
  standins.platform.setHost({ host: name, role, failureDomain, address: ADDRESS, port, state: 'live' })
  return host
}

/** Prefers the highest term; during a failover without a primary, falls back to the last one. */
function findPrimary (standins: Standins, group: string): UpstreamServer {
  const rank = ({ upstream }: UpstreamServer): number => {
    const { role, term } = upstream.status()
    return term + (role === 'primary' ? 0.5 : 0) + (upstream.status().primary === upstream.name ? 0.25 : 0)
  }
  return [...standins.groups.get(group)!.values()].sort((left, right) => rank(right) - rank(left))[0]!
}

function pickUpstreamSizes ({ slots, connections, connectMs, readMs, writeMs, lagMs }: DeploymentSizes) {
  return { slots, connections, connectMs, readMs, writeMs, lagMs }
}

function nameUpstreams (group: string, { upstreamsPerGroup }: DeploymentSizes): Array<{ name: string, port: number }> {
  return Array.from({ length: upstreamsPerGroup }, (_value, index) => ({ name: `${group}-${index + 1}`, port: 0 }))
}

function buildDeclarations (sizes: DeploymentSizes, standins: Standins, network: Network): Declarations {
  const groups = sizes.groups.map((group) => {
    const servers = [...standins.groups.get(group)!]
    servers.forEach(([name, { port }]) => network.name(ADDRESS, port, name))
    const upstreams = servers.map(([name, { port }], index) => ({
      name, address: ADDRESS, port, failureDomain: sizes.failureDomains[index % sizes.failureDomains.length]!
    }))
    const passwordHash = doubleSha1(EMBEDDED_PASSWORD).toString('hex')
    return [group, {
      upstreams,
      account: EMBEDDED_ACCOUNT,
      services: { [EMBEDDED_SERVICE]: { passwordHash, kinds: EMBEDDED_KINDS } },
      limits: { connections: sizes.connections, slots: sizes.slots }
    }] as const
  })
  return declarationsSchema.parse({ groups: Object.fromEntries(groups) })
}

async function applyDeclarations (
  declarations: Declarations, platform: { tableEndpoint: string }, network: Network
): Promise<void> {
  const settings = proxySettingsSchema.shape.platform.parse(platform)
  const connection = connectPlatform(settings, network.dialerOf('operator'))
  const store = createConfigurationStore(connection.table, connection.objects)
  const groups = Object.entries(declarations.groups).map(([name, group]) => ({ name, group, baseVersion: 0 }))
  await store.accept(groups, {
    changeId: randomUUID(), operator: 'embedded', at: new Date().toISOString(), reason: 'first deployment'
  })
  connection.close()
}
