/** Plug-in `homes`: which hosts hold the connections to each upstream, and the links to them. */
import { RequestError, type Verdict } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { HOME_GONE_MS } from './consts.ts'
import { createHomeChoice } from './home-choice.ts'
import { createHomeWatch } from './home-watch.ts'
import { homeReplySchema, type HomeReply } from './messages.ts'
import { homesOf } from '../../placement/upstream-homes.ts'

export * from './messages.ts'
export { HOP_GRACE_MS } from './consts.ts'

/** What is passed on to a home. */
export interface PassedOn {
  /** Name of the upstream where it is to run. */
  upstream: string
  /** Type of the message. */
  type: string
  body: unknown
  /** Greatest wait, in milliseconds. */
  timeoutMs: number
  /**
   * Given where a home that is silent may be left, since nothing of this try is kept or it can run again; called with
   * an answer that comes after that.
   */
  onLateReply?: (reply: HomeReply) => void
}

/** Whether a host answers this one: not known before it has been asked anything. */
type Reachability = 'answers' | 'silent' | 'unknown'

/** Service of the plug-in. */
export interface Homes {
  /** Homes of an upstream, the best first; none while the hosts or the upstream's cap are unknown. */
  of: (upstream: KnownUpstream) => KnownHost[]
  /** Whether this host is one of them. */
  isHome: (upstream: KnownUpstream) => boolean
  /**
   * Chooses the home to which a statement is passed on.
   *
   * @param upstream - where it is to run
   * @param tried - names of homes that have been tried for it
   * @param organisation - name of the organisation on whose behalf it runs; empty for none
   * @returns the home; undefined when this host is one itself, or when none is fit
   */
  choose: (upstream: KnownUpstream, tried: ReadonlySet<string>, organisation?: string) => KnownHost | undefined
  /**
   * Passes a statement on and waits for what became of it. A home that is silent is left after a third of a second, if
   * it may be, and given up after one second.
   *
   * @param home - the home
   * @param passed - the message
   * @returns the answer
   * @throws RequestError with the verdict on whether it may have run
   */
  ask: (home: KnownHost, passed: PassedOn) => Promise<HomeReply>
  /**
   * Makes sure that a home is there before it gets what must not be in doubt: asks it, unless it has answered just now.
   *
   * @param home - the home
   * @throws RequestError `PeerUnavailable` with verdict `not-run`
   */
  ensureThere: (home: KnownHost) => Promise<void>
  /** Statements that this host has in progress at an upstream through its homes. */
  loadOf: (upstream: string) => number
  /** Whether a host answers, as far as this host has seen. */
  reachability: (host: KnownHost) => Reachability
  /** Asks a host whether it is there, unless it has answered just now. */
  check: (host: KnownHost) => void
  /**
   * Finds the first host that is not known to be silent; has silent ones before it asked whether they are there again.
   *
   * @param hosts - the hosts, the best first
   * @returns the host; undefined when there is none
   */
  firstAnswering: (hosts: KnownHost[]) => KnownHost | undefined
  /** Takes note that a host has answered a question of another kind. */
  noteAnswer: (host: KnownHost) => void
  /** Takes note that a host could not be reached, or has not answered. */
  noteSilent: (host: KnownHost, thrown: unknown) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { homes: Homes }
}

registerPlugin({
  name: 'homes',
  needs: ['registry', 'directory', 'desiredState', 'peers', 'metrics'],
  start: (context) => {
    const registry = context.use('registry')
    const directory = context.use('directory')
    const desiredState = context.use('desiredState')
    const { work: links, handle } = context.use('peers')
    const { logger } = context
    const choice = createHomeChoice()
    const count = context.use('metrics').count('worksward_passed_on', 'Statements passed on to homes, by outcome')
    const time = context.use('metrics').time(
      'worksward_passed_on_milliseconds', 'Time of statements passed on to homes')

    /** Homes by upstream, and what they were computed from: they are looked up several times for each statement. */
    const computed = new Map<string, { liveHosts: KnownHost[], cap: number, homes: KnownHost[] }>()
    const compute = (upstream: KnownUpstream, liveHosts: KnownHost[], cap: number): KnownHost[] => {
      const staying = liveHosts.filter(({ leaving }) => leaving !== true)
      const homes = homesOf(upstream, staying.length > 0 ? staying : liveHosts, cap)
      computed.set(upstream.upstream, { liveHosts, cap, homes })
      return homes
    }
    const of = (upstream: KnownUpstream): KnownHost[] => {
      const cap = desiredState.current?.connectionCaps.get(upstream.group)
      const { liveHosts } = registry.current
      if (cap === undefined) {
        return []
      }
      const known = computed.get(upstream.upstream)
      return known?.liveHosts === liveHosts && known.cap === cap ? known.homes : compute(upstream, liveHosts, cap)
    }
    directory.onChange(({ upstream, change }) => {
      if (change === 'gone') {
        computed.delete(upstream.upstream)
      }
    })
    const isSelf = ({ name }: KnownHost): boolean => name === registry.self.name
    const others = (): KnownHost[] =>
      [...new Set([...computed.values()].flatMap(({ homes }) => homes))].filter((home) => !isSelf(home))
    const watch = createHomeWatch({ links, choice, logger, homes: others })
    const silent = (home: KnownHost, verdict: Verdict): RequestError =>
      new RequestError(verdict, 'PeerUnavailable', { peer: home.name, reason: 'it does not answer' })
    /** Waits for an answer; leaves it when its time is over, or when the home is silent and may be left. */
    const waitFor = async (home: KnownHost, { type, body, timeoutMs, onLateReply }: PassedOn): Promise<HomeReply> =>
      await new Promise((resolve, reject) => {
        let isLeft = false
        const leave = (): void => {
          isLeft = true
          reject(silent(home, 'may-have-run'))
        }
        const stopAsking = watch.whileWaiting(home, () => onLateReply !== undefined && leave())
        const timer = setTimeout(leave, timeoutMs)
        const lateMs = onLateReply === undefined ? 0 : HOME_GONE_MS
        links.request(home, type, body, timeoutMs + lateMs).finally(() => {
          stopAsking()
          clearTimeout(timer)
        }).then((answer) => {
          const reply = homeReplySchema.parse(answer)
          isLeft ? onLateReply?.(reply) : resolve(reply)
        }).catch(reject)
      })
    handle('home-alive', async () => ({}))

    return {
      service: {
        of,
        isHome: (upstream) => of(upstream).some(isSelf),
        choose: (upstream, tried, organisation) => {
          const homes = of(upstream)
          if (homes.some(isSelf)) {
            return undefined
          }
          const due = choice.takeDue(homes)
          if (due !== undefined) {
            void watch.isThere(due)
          }
          return choice.choose(upstream.upstream, homes, tried, organisation)
        },
        ask: async (home, passed) => {
          const { upstream, type } = passed
          const sentAt = performance.now()
          choice.sent(home, upstream)
          try {
            const reply = await waitFor(home, passed)
            choice.answered(home, upstream, reply, performance.now() - sentAt - (reply.ranMs ?? 0))
            count('answered')
            return reply
          } catch (thrown) {
            const isMissing = thrown instanceof RequestError && thrown.entry === 'PeerUnavailable'
            isMissing ? watch.failed(home, thrown) : choice.answered(home, upstream)
            count(thrown instanceof RequestError ? thrown.entry : 'unreadable')
            throw thrown
          } finally {
            choice.ended(home, upstream)
            time(type, performance.now() - sentAt)
          }
        },
        ensureThere: async (home) => {
          if (!await watch.isThere(home)) {
            throw silent(home, 'not-run')
          }
        },
        loadOf: choice.loadOf,
        reachability: (host) => {
          if (choice.isSilent(host)) {
            return 'silent'
          }
          return Number.isFinite(choice.lastAnswerAt(host)) ? 'answers' : 'unknown'
        },
        check: (host) => { void watch.isThere(host) },
        firstAnswering: (hosts) => {
          const first = hosts.findIndex((host) => !choice.isSilent(host))
          const due = choice.takeDue(first < 0 ? hosts : hosts.slice(0, first))
          if (due !== undefined) {
            void watch.isThere(due)
          }
          return hosts[first]
        },
        noteAnswer: (host) => choice.answered(host, ''),
        noteSilent: watch.failed
      },
      dump: () => Object.fromEntries(directory.all().map((upstream) =>
        [upstream.upstream, { group: upstream.group, homes: of(upstream).map(({ name }) => name) }]))
    }
  }
})
