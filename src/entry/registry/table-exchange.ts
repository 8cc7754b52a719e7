/**
 * Plug-in `tableRelay`: a few hosts follow the tables of the store, the others ask one of these by long poll, which
 * answers as soon as something changes. When each of 195 hosts followed each table, every change cost 195 calls, and
 * hosts that the store rejected asked it thirteen times a second each.
 */
import * as z from 'zod'
import { describeThrown } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { createWaiters } from '../../core/time/waiters.ts'
import { createRecentFailures } from './recent-failures.ts'
import { followersOf, orderFor } from './readers.ts'
import type { KnownHost } from './snapshot.ts'
import type { TableChanges, TableCopy } from './table-copy.ts'

/** Service of the plug-in. */
export interface TableExchange {
  /** Waits until this host knows the other hosts, for a bounded time. */
  hostsKnown: () => Promise<void>
  /** Whether this host follows tables in the store. */
  isFollower: () => boolean
  /** Calls back when this host has ceased to be a follower. */
  onRelieved: (listener: () => void) => void
  /** Lets other hosts ask for a table; `readAnew` reads it from the store. */
  serve: (table: string, copy: TableCopy, readAnew: () => void) => void
  /**
   * Asks those who follow a table what has changed.
   *
   * @param table - the table
   * @param after - version that is known here; undefined for the whole table
   * @returns what has changed; undefined when no host could answer
   */
  ask: (table: string, after: number | undefined) => Promise<TableChanges | undefined>
  /**
   * Asks one of those who follow a table to read it anew from the store.
   *
   * @param table - the table
   * @returns the whole table; undefined when no host could answer
   */
  askAnew: (table: string) => Promise<TableChanges | undefined>
}

declare module '../../core/kernel/index.ts' {
  interface Services { tableRelay: TableExchange }
}

/**
 * Time for which a question is held while nothing changes, in milliseconds. A follower that falls silent is noticed in
 * less: its link breaks when it does not answer the next question for the registry. Chosen, not measured.
 */
const TABLE_HOLD_MS = 1500
/** Time to answer beyond that, in milliseconds: chosen, not measured. */
const ANSWER_MS = 400
/** Age of a whole read that counts as read anew, in milliseconds: many hosts ask for the same. Chosen, not measured. */
const ANEW_MS = 300
/**
 * Time that a host which has just started waits for the whole table before it reads the store, in milliseconds: some
 * round trips. When all hosts start at once, those that it asks know nothing yet either. Chosen, not measured.
 */
const FIRST_ANSWER_MS = 40
/** Time that a host which has just started waits for the list of hosts, in milliseconds: chosen, not measured. */
const HOSTS_KNOWN_MS = 300
/** Followers that are asked in one turn: chosen, not measured. */
const FOLLOWERS_ASKED = 2
/**
 * Greatest age of a serving host's registry, in milliseconds: with an older one it may be cut off. Chosen, not
 * measured.
 */
const IN_TOUCH_MS = 2500

const questionSchema = z.object({
  table: z.string(),
  /** Version that is known already; left out for the whole table. */
  after: z.number().optional(),
  /** Whether the table is to be read anew from the store. */
  anew: z.boolean().optional()
})
type Question = z.infer<typeof questionSchema>
const replySchema = z.object({
  version: z.number(),
  isWhole: z.boolean(),
  rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })),
  removed: z.array(z.string())
})
const answerSchema = z.object({ changes: replySchema.optional() })

registerPlugin({
  name: 'tableRelay',
  needs: ['registry', 'peers'],
  start: (context) => {
    const registry = context.use('registry')
    const peers = context.use('peers')
    const { logger } = context
    const { self } = registry
    const copies = new Map<string, { copy: TableCopy, readAnew: () => void }>()
    const recentFailures = createRecentFailures()
    const hostsKnown = createWaiters()
    const relievedListeners: Array<() => void> = []
    let wasFollower = false
    registry.onChange(() => {
      hostsKnown.notify()
      const isRelieved = wasFollower && !isFollower()
      wasFollower = isFollower()
      if (isRelieved) {
        relievedListeners.forEach((listener) => listener())
      }
    })

    const others = (): KnownHost[] => {
      const { liveHosts } = registry.current
      const ordered = orderFor(self.name, liveHosts, followersOf(liveHosts))
      return recentFailures.order(ordered.filter(({ name }) => name !== self.name))
    }
    const isFollower = (): boolean => followersOf(registry.current.liveHosts).some(({ name }) => name === self.name)
    /** A question that is given up early must not break the link, which others use. */
    const send = async (host: KnownHost, question: Question, timeoutMs: number): Promise<unknown> =>
      question.after === undefined
        ? await peers.request(host, 'table-changes', question, timeoutMs)
        : await peers.ask(host, 'table-changes', question, timeoutMs)
    const askOne = async (
      host: KnownHost, question: Question, timeoutMs: number
    ): Promise<TableChanges | undefined> => {
      try {
        return answerSchema.parse(await send(host, question, timeoutMs)).changes
      } catch (thrown) {
        logger.log('debug', 'registry.peer-silent', { peer: host.name, reason: describeThrown(thrown) })
        return undefined
      }
    }
    const askSome = async (question: Question, timeoutMs: number): Promise<TableChanges | undefined> => {
      const isFirst = question.after === undefined && question.anew !== true
      for (const host of others().slice(0, isFirst ? 1 : FOLLOWERS_ASKED)) {
        const changes = await askOne(host, question, timeoutMs)
        if (changes !== undefined) {
          return changes
        }
        recentFailures.record(host)
      }
      return undefined
    }
    const isInTouch = (): boolean => performance.now() - registry.current.askedAt < IN_TOUCH_MS
    const answer = async ({ table, after, anew = false }: Question): Promise<TableChanges | undefined> => {
      const served = copies.get(table)
      if (served === undefined || !isInTouch()) {
        return undefined
      }
      const since = performance.now() - ANEW_MS
      if (anew && served.copy.readAt < since) {
        served.readAnew()
      }
      return anew && !await served.copy.readSince(since, ANSWER_MS)
        ? undefined
        : await served.copy.changesSince(after, TABLE_HOLD_MS)
    }
    peers.handle('table-changes', async (body) => ({ changes: await answer(questionSchema.parse(body)) }))
    return {
      service: {
        hostsKnown: async () => {
          await hostsKnown.until(() => registry.current.version >= 0 || undefined, HOSTS_KNOWN_MS)
        },
        isFollower,
        onRelieved: (listener) => { relievedListeners.push(listener) },
        serve: (table, copy, readAnew) => { copies.set(table, { copy, readAnew }) },
        ask: async (table, after) =>
          await askSome({ table, after }, after === undefined ? FIRST_ANSWER_MS : TABLE_HOLD_MS + ANSWER_MS),
        askAnew: async (table) => await askSome({ table, anew: true }, ANSWER_MS)
      }
    }
  }
})
