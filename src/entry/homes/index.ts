/** Plug-in `homes`: which hosts hold the connections to each upstream, and the links to them. */
import { registerPlugin } from '../../core/kernel/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { createHomeChoice, type HomeChoice } from './home-choice.ts'
import { createHomeWatch, type HomeWatch } from './home-watch.ts'
import type { HomeReply } from './messages.ts'
import { createPassOn, homeSilent, type PassedOn } from './pass-on.ts'
import { createUpstreamHomes } from './upstream-homes.ts'

export * from './messages.ts'
export type { PassedOn } from './pass-on.ts'

/**
 * What the answer of a home may take beyond the time that a statement has left, in milliseconds: the refusal of the
 * home itself comes first.
 */
export const HOP_GRACE_MS = 30

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
   * Passes a statement on and waits for its outcome. A home that is silent is left after a third of a second, if it may
   * be, and given up after one second.
   *
   * @param home - the home
   * @param passed - the message
   * @returns the answer
   * @throws RequestError with the verdict on whether it may have run
   */
  ask: (home: KnownHost, passed: PassedOn) => Promise<HomeReply>
  /**
   * Makes sure that a home is alive before it gets what must not be in doubt: probes it, unless it has answered just
   * now.
   *
   * @param home - the home
   * @throws RequestError `PeerUnavailable` with verdict `not-run`
   */
  ensureAlive: (home: KnownHost) => Promise<void>
  /** Statements that this host has in progress at an upstream through its homes. */
  loadOf: (upstream: string) => number
  /** Whether a host answers, as far as this host has seen. */
  reachability: (host: KnownHost) => Reachability
  /** Probes a host, unless it has answered just now. */
  check: (host: KnownHost) => void
  /**
   * Finds the first host that is not known to be silent; has silent ones before it probed.
   *
   * @param hosts - the hosts, the best first
   * @returns the host; undefined when there is none
   */
  firstAnswering: (hosts: KnownHost[]) => KnownHost | undefined
  /** Records that a host has answered a question of another kind. */
  recordAnswer: (host: KnownHost) => void
  /** Records that a host could not be reached, or has not answered. */
  recordFailure: (host: KnownHost, thrown: unknown) => void
}

declare module '../../core/kernel/index.ts' {
  interface Services { homes: Homes }
}

registerPlugin({
  name: 'homes',
  dependencies: ['registry', 'directory', 'desiredState', 'peers', 'metrics'],
  start: ({ use, logger }) => {
    const directory = use('directory')
    const registry = use('registry')
    const { work: links, handle } = use('peers')
    const metrics = use('metrics')
    const choice = createHomeChoice()
    const count = metrics.registerCounter('worksward_passed_on', 'Statements passed on to homes, by outcome')
    const time = metrics.registerTiming('worksward_passed_on_milliseconds', 'Time of statements passed on to homes')
    const { of, isHome, others } = createUpstreamHomes({
      registry, desiredState: use('desiredState'), directory
    })
    const watch = createHomeWatch({ links, choice, logger, homes: others })
    handle('home-alive', async () => ({}))
    let { liveHosts } = registry.current
    registry.onChange(() => {
      if (registry.current.liveHosts !== liveHosts) {
        liveHosts = registry.current.liveHosts
        choice.retain(liveHosts)
      }
    })
    directory.onChange(({ upstream, change }) => {
      if (change === 'gone') {
        choice.forgetUpstream(upstream.upstream)
      }
    })

    return {
      service: {
        of,
        isHome,
        choose: (upstream, tried, organisation) => {
          if (isHome(upstream)) {
            return undefined
          }
          const homes = of(upstream)
          probeDue(homes, choice, watch)
          return choice.choose(upstream.upstream, homes, tried, organisation)
        },
        ask: createPassOn({ links, choice, watch, count, time }),
        loadOf: choice.loadOf,
        ...reachOf(choice, watch)
      },
      dump: () => Object.fromEntries(directory.all().map((upstream) =>
        [upstream.upstream, { group: upstream.group, homes: of(upstream).map(({ name }) => name) }]))
    }
  }
})

/** The part of the service that says which hosts answer. */
function reachOf (
  choice: HomeChoice, watch: HomeWatch
): Pick<Homes, 'ensureAlive' | 'reachability' | 'check' | 'firstAnswering' | 'recordAnswer' | 'recordFailure'> {
  return {
    ensureAlive: async (home) => {
      if (!await watch.isAlive(home)) {
        throw homeSilent(home, 'not-run')
      }
    },
    reachability: (host) => {
      if (choice.isSilent(host)) {
        return 'silent'
      }
      return Number.isFinite(choice.lastAnswerAt(host)) ? 'answers' : 'unknown'
    },
    check: (host) => { void watch.isAlive(host) },
    firstAnswering: (hosts) => {
      const first = hosts.findIndex((host) => !choice.isSilent(host))
      probeDue(first < 0 ? hosts : hosts.slice(0, first), choice, watch)
      return hosts[first]
    },
    recordAnswer: (host) => choice.recordAnswer(host, ''),
    recordFailure: watch.recordFailure
  }
}

/** Probes the silent host that is due, if any. */
function probeDue (hosts: KnownHost[], choice: HomeChoice, watch: HomeWatch): void {
  const due = choice.takeDueProbe(hosts)
  if (due !== undefined) {
    void watch.isAlive(due)
  }
}
