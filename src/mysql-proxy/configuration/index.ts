/**
 * Plug-in `configuration`: the declarations in force on this process. They come from the platform, or from peers while
 * the platform does not answer; their revision only rises.
 */
import type { MemberSettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createConfigurationStore, type ConfigurationStore } from './configuration-store.ts'
import { createDeclarationsInForce, type DeclarationsInForce } from './declarations-in-force.ts'
import { followChanges } from './follow-changes.ts'
import { sinceSchema, type Changes } from './types.ts'

/** Service of the plug-in. This process serves no caller until it is ready. */
export interface Configuration extends Omit<DeclarationsInForce, 'apply' | 'changesSince'> {
  /** Reads what the platform has. */
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
    const declarations = createDeclarationsInForce(context.logger)

    peers.handle('configuration-since', async (body) =>
      declarations.changesSince(sinceSchema.parse(body).revision) satisfies Changes)
    peers.handle('configuration-revision', async () => declarations.revision)
    const follower = followChanges({ settings, declarations, store, peers, membership })
    membership.shareRevision(() => declarations.revision, (peer) => {
      // A peer that does not answer needs no log line: the next heartbeat from a newer one asks again.
      follower.askPeer(peer).catch(() => {})
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
