/**
 * Plug-in `configuration`: the declarations in force on this process. They come from the platform, or from peers while
 * the platform cannot be had, and only ever go forward.
 */
import type { Group, MemberSettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { parseEndpoint, type Endpoint } from '../../core/wire/dialer.ts'
import { createConfigurationStore, type ConfigurationStore } from './configuration-store.ts'
import { changesSchema, sinceSchema, type Changes, type VersionedGroup } from './types.ts'

/** Service of the plug-in. */
export interface Configuration {
  /** Whether this process has a configuration; it serves nobody before. */
  readonly ready: boolean
  /** Count of changes this process has applied. */
  readonly revision: number
  /** Returns a group in force. */
  group: (name: string) => Group | undefined
  /** Returns all groups, removed ones included. */
  versions: () => VersionedGroup[]
  /** Calls back with every version that comes into force. */
  onChange: (listener: (version: VersionedGroup) => void) => void
  /** Reads what the platform has now. */
  refresh: () => Promise<void>
  store: ConfigurationStore
}

declare module '../../core/kernel/index.ts' {
  interface Services { configuration: Configuration }
}

const PEER_TIMEOUT_MS = 1000
/** Pause between two attempts to find a configuration at start, in milliseconds. */
const START_PAUSE_MS = 100

registerPlugin({
  name: 'configuration',
  needs: ['platform', 'peers', 'membership'],
  start: (context) => {
    const settings = context.settings as MemberSettings
    const { table, objects } = context.use('platform')
    const peers = context.use('peers')
    const membership = context.use('membership')
    const store = createConfigurationStore(table, objects)
    const groups = new Map<string, VersionedGroup>()
    const listeners: Array<(version: VersionedGroup) => void> = []
    const asking = new Set<string>()
    let revision = 0
    let ready = false
    const state = { closed: false }

    const apply = (changes: Changes): void => {
      for (const version of changes.groups) {
        if (version.version > (groups.get(version.name)?.version ?? 0)) {
          groups.set(version.name, version)
          context.logger.log('info', 'configuration.applied', {
            group: version.name, version: version.version, change: version.change.changeId
          })
          listeners.forEach((listener) => listener(version))
        }
      }
      revision = Math.max(revision, changes.revision)
      ready ||= revision > 0
    }

    const refresh = async (): Promise<void> => {
      if (revision === 0 || await store.revision() > revision) {
        apply(await store.changesSince(revision))
      }
    }

    const askPeer = async (endpoint: Endpoint): Promise<void> => {
      const name = `${endpoint.address}:${endpoint.port}`
      if (asking.has(name)) {
        return
      }
      asking.add(name)
      try {
        const answer = await peers.request(endpoint, 'configuration-since', { revision }, PEER_TIMEOUT_MS)
        apply(changesSchema.parse(answer))
      } finally {
        asking.delete(name)
      }
    }

    peers.handle('configuration-since', async (body) => {
      const since = sinceSchema.parse(body).revision
      const changed = [...groups.values()].filter((version) => version.revision > since)
      return { revision, groups: changed } satisfies Changes
    })
    peers.handle('configuration-revision', async () => revision)
    membership.shareRevision(() => revision, (peer) => { askPeer(peer).catch(() => {}) })

    const follow = async (): Promise<void> => {
      const seeds = settings.peers.seeds.map(parseEndpoint)
      while (!state.closed) {
        const failed = await refresh().then(() => false, () => true)
        if (failed && !ready) {
          await Promise.allSettled([...seeds, ...membership.known()].map(askPeer))
        }
        const waitMs = ready ? settings.platform.pollMs * (0.5 + Math.random()) : START_PAUSE_MS
        await pause(waitMs)
      }
    }
    void follow()

    return {
      service: {
        get ready () { return ready },
        get revision () { return revision },
        group: (name) => groups.get(name)?.group ?? undefined,
        versions: () => [...groups.values()],
        onChange: (listener) => listeners.push(listener),
        refresh,
        store
      },
      dump: () => ({
        ready, revision, groups: [...groups.values()].map(({ name, version, change }) => ({ name, version, change }))
      }),
      close: () => { state.closed = true }
    }
  }
})
