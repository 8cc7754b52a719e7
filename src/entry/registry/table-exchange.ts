/**
 * Plug-in `tableRelay`: a few hosts follow the tables of the store, the others ask one of these by long poll, which
 * answers as soon as something changes. If each host followed each table, every change would cost a call from each, and
 * hosts that the store rejects would ask it again and again.
 */
import { registerPlugin } from '../../core/kernel/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import { followersOf, orderFor } from './readers.ts'
import { createTableAnswers, type ServedTable } from './table-answers.ts'
import { tableQuestionSchema } from './table-messages.ts'
import { createTableQuestions, type TableQuestions } from './table-questions.ts'

/** Service of the plug-in. */
export interface TableExchange extends TableQuestions {
  /** Waits until this host knows the other hosts, for a bounded time. */
  hostsKnown: () => Promise<void>
  /** Whether this host follows tables in the store. */
  isFollower: () => boolean
  /** Calls back when this host has ceased to be a follower. */
  onRelieved: (listener: () => void) => void
  /** Lets other hosts ask for a table. */
  serve: (table: string, served: ServedTable) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { tableRelay: TableExchange }
}

/** Time that a host which has just started waits for the list of hosts, in milliseconds. */
const HOSTS_KNOWN_MS = 300

registerPlugin({
  name: 'tableRelay',
  dependencies: ['registry', 'peers'],
  start: (context) => {
    const registry = context.use('registry')
    const peers = context.use('peers')
    const { logger } = context
    const { self } = registry
    const hostsKnown = createWaiters()
    const relievedListeners: Array<() => void> = []
    let wasFollower = false

    const isFollower = (): boolean => followersOf(registry.current.liveHosts).some(({ name }) => name === self.name)
    registry.onChange(() => {
      hostsKnown.notify()
      const isRelieved = wasFollower && !isFollower()
      wasFollower = isFollower()
      if (isRelieved) {
        relievedListeners.forEach((listener) => listener())
      }
    })
    const answers = createTableAnswers(() => performance.now() - registry.current.askedAt)
    peers.handle('table-changes', async (body) => await answers.answer(tableQuestionSchema.parse(body)))
    const questions = createTableQuestions({
      peers,
      logger,
      followers: () => {
        const { liveHosts } = registry.current
        return orderFor(self.name, liveHosts, followersOf(liveHosts)).filter(({ name }) => name !== self.name)
      }
    })
    return {
      service: {
        ...questions,
        hostsKnown: async () => {
          await hostsKnown.until(() => registry.current.version >= 0 || undefined, HOSTS_KNOWN_MS)
        },
        isFollower,
        onRelieved: (listener) => { relievedListeners.push(listener) },
        serve: answers.serve
      }
    }
  }
})
