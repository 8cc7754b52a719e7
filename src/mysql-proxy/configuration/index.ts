/**
 * Plug-in `configuration`: the declarations applied on this process. They come from the platform, or from peers while
 * the platform is unavailable.
 */
import type { MemberSettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createConfigurationStore, type ConfigurationStore } from './configuration-store.ts'
import { createAppliedDeclarations, type AppliedDeclarations } from './applied-declarations.ts'
import { followChanges } from './follow-changes.ts'
import { sinceSchema, type Changes } from './types.ts'

/** Service of the plug-in. The process serves no callers until `ready` is true. */
export interface Configuration extends Omit<AppliedDeclarations, 'apply' | 'changesSince'> {
  /** Applies the changes that the platform has and this process lacks. */
  refresh: () => Promise<void>
  store: ConfigurationStore
}

declare module '../../core/kernel/index.ts' {
  interface Services { configuration: Configuration }
}

registerPlugin({
  name: 'configuration',
  dependencies: ['platform', 'peers', 'membership'],
  start: (context) => {
    const settings = context.settings as MemberSettings
    const { table, objects } = context.use('platform')
    const peers = context.use('peers')
    const membership = context.use('membership')
    const store = createConfigurationStore(table, objects)
    const declarations = createAppliedDeclarations(context.logger)

    peers.handle('configuration-since', async (body) =>
      declarations.changesSince(sinceSchema.parse(body).revision) satisfies Changes)
    peers.handle('configuration-revision', async () => declarations.revision)
    const follower = followChanges({ settings, declarations, store, peers, membership })
    membership.shareRevision(() => declarations.revision, (peer) => {
      // Failures are not logged: the next heartbeat with a newer revision triggers another request.
      follower.fetchFromPeer(peer).catch(() => {})
    })

    return {
      service: {
        get ready () { return declarations.ready },
        get revision () { return declarations.revision },
        group: declarations.group,
        versions: declarations.versions,
        onChange: declarations.onChange,
        refresh: follower.refresh,
        store
      },
      dump: () => ({
        ready: declarations.ready,
        revision: declarations.revision,
        groups: declarations.versions().map(({ name, version, change }) => ({ name, version, change }))
      }),
      close: follower.close
    }
  }
})
