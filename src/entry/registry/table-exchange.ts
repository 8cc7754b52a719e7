/**
 * Plug-in `tableRelay`: a few hosts follow the tables of the store, and all others request changes from them by long
 * poll, which saves calls to the store.
 */
import { registerPlugin } from '../../core/kernel/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import { followersOf, orderFor } from './readers.ts'
import { reportTableAges } from './table-ages.ts'
import { createTableServer, type ServedTable } from './table-answers.ts'
import { tableRequestSchema } from './table-messages.ts'
import { createTableClient, type TableClient } from './table-questions.ts'

export interface TableExchange extends TableClient {
  /** Waits for the list of hosts; the wait is bounded. */
  waitForHosts: () => Promise<void>
  /** Whether the list of hosts is known. */
  hasHosts: () => boolean
  /** Whether this host follows tables in the store. */
  isFollower: () => boolean
  /** Adds a listener that is called when this host ceases to be a follower. */
  onFollowerRoleEnd: (listener: () => void) => void
  /** Makes a table available to other hosts. */
  serve: (table: string, served: ServedTable) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { tableRelay: TableExchange }
}

/** Maximum wait for the list of hosts after a start, in milliseconds. */
const HOSTS_TIMEOUT_MS = 300

registerPlugin({
  name: 'tableRelay',
  dependencies: ['registry', 'peers', 'metrics'],
  start: (context) => {
    const registry = context.use('registry')
    const peers = context.use('peers')
    const { logger } = context
    const { self } = registry
    const hostWaiters = createWaiters()
    const roleEndListeners: Array<() => void> = []
    let wasFollower = false

    const isFollower = (): boolean => followersOf(registry.current.liveHosts).some(({ name }) => name === self.name)
    registry.onChange(() => {
      hostWaiters.notify()
      const hasRoleEnded = wasFollower && !isFollower()
      wasFollower = isFollower()
      if (hasRoleEnded) {
        roleEndListeners.forEach((listener) => listener())
      }
    })
    const ages = reportTableAges({ logger, metrics: context.use('metrics') })
    const tableServer = createTableServer(() => performance.now() - registry.current.askedAt)
    peers.handle('table-changes', async (body) => await tableServer.respond(tableRequestSchema.parse(body)))
    const tableClient = createTableClient({
      peers,
      logger,
      hostOf: (name) => registry.current.liveHosts.find((host) => host.name === name),
      followers: () => {
        const { liveHosts } = registry.current
        return orderFor(self.name, liveHosts, followersOf(liveHosts)).filter(({ name }) => name !== self.name)
      }
    })
    return {
      service: {
        ...tableClient,
        waitForHosts: async () => {
          await hostWaiters.until(() => registry.current.version >= 0 || undefined, HOSTS_TIMEOUT_MS)
        },
        hasHosts: () => registry.current.version >= 0,
        isFollower,
        onFollowerRoleEnd: (listener) => { roleEndListeners.push(listener) },
        serve: (table, served) => {
          ages.add(table, served.confirmation)
          tableServer.serve(table, served)
        }
      },
      close: ages.close
    }
  }
})
