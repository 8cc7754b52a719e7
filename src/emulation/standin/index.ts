/** Starts stand-ins for a whole deployment: upstreams of every group, the table service and the object store. */
import type { StandinSettings } from '../../core/config/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { servePlatform, type PlatformServer } from './platform-server.ts'
import { serveUpstream, type UpstreamServer } from './upstream-server.ts'
import { createUpstream, type Upstream } from './upstream.ts'

/** A running set of stand-ins. */
export interface Standins {
  platform: PlatformServer
  /** Upstreams by group and name. */
  groups: Map<string, Map<string, UpstreamServer>>
  /** Cuts replication between two upstreams in both directions. */
  cutReplication: (left: string, right: string) => void
  /** Restores replication between all upstreams. */
  mendReplication: () => void
  close: () => Promise<void>
}

/**
 * Starts the stand-ins.
 *
 * @param settings - groups, hosts and platform to serve
 * @param logger - logger of the upstreams
 * @returns the running stand-ins
 */
export async function startStandins (settings: StandinSettings, logger: Logger): Promise<Standins> {
  const platform = await servePlatform({
    ...settings.platform, address: settings.address, port: settings.platformPort, accessKeys: settings.accessKeys
  })
  settings.hosts.forEach(({ name, ...row }) => platform.setHost({ ...row, host: name }))
  const cuts = new Set<string>()
  const groups = new Map<string, Map<string, UpstreamServer>>()

  for (const [name, group] of Object.entries(settings.groups)) {
    const servers = new Map<string, UpstreamServer>()
    const upstreams = new Map<string, Upstream>()
    for (const declaration of group.upstreams) {
      const upstream = await createUpstream({
        name: declaration.name,
        lagMs: group.lagMs,
        schema: group.schema,
        findPeer: (peer) => upstreams.get(peer),
        reachable: (from, to) => !cuts.has(pairOf(from, to)),
        logger
      })
      upstreams.set(declaration.name, upstream)
      servers.set(declaration.name, await serveUpstream({
        ...group, ...group.account, upstream, address: settings.address, port: declaration.port
      }))
    }
    groups.set(name, servers)
  }

  const allServers = (): UpstreamServer[] => [...groups.values()].flatMap((servers) => [...servers.values()])
  return {
    platform,
    groups,
    cutReplication: (left, right) => { cuts.add(pairOf(left, right)) },
    mendReplication: () => {
      cuts.clear()
      allServers().forEach(({ upstream }) => upstream.resume())
    },
    close: async () => {
      await Promise.all(allServers().map(async (server) => await server.close()))
      await platform.close()
    }
  }
}

function pairOf (left: string, right: string): string {
  return [left, right].sort().join('\0')
}
