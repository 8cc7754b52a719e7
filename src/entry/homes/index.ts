/**
 * Plug-in `homes`. A home of an upstream is a host that holds connections to it; the other hosts forward statements to
 * a home. This plug-in computes the homes, selects one for each statement and detects those that fail.
 */
import * as z from 'zod'
import { registerPlugin } from '../../core/kernel/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { candidateHomes, preferredHome } from './candidate-homes.ts'
import { createForwarder, silentHomeError, type ForwardRequest } from './pass-on.ts'
import { createHomeSelector, type HomeSelector } from './home-choice.ts'
import { createHomeFailureDetector, type HomeFailureDetector } from './home-watch.ts'
import type { HomeReply } from './messages.ts'
import { trackStartingHosts } from './starting-hosts.ts'
import { createUpstreamHomes } from './upstream-homes.ts'

export * from './messages.ts'
export type { ForwardRequest } from './pass-on.ts'

/**
 * Time in milliseconds that a host waits for a home beyond the statement's deadline, so that the home's own timeout
 * error arrives first.
 */
export const FORWARDING_GRACE_MS = 30

/** Time that a host has to say whether it is ready, in milliseconds; a busy process needs some hundred. */
const READY_TIMEOUT_MS = 500

const aliveAnswerSchema = z.object({ ready: z.boolean().optional() })

/** Whether a host responds; `unknown` until it has been sent a request. */
type Reachability = 'answers' | 'silent' | 'unknown'

/** Service of the plug-in. */
export interface Homes {
  /** Homes of an upstream, in order of preference; empty while the live hosts or the upstream's cap are unknown. */
  of: (upstream: KnownUpstream) => KnownHost[]
  /** Whether this host is a home of an upstream. */
  isHome: (upstream: KnownUpstream) => boolean
  /**
   * Selects the home that a statement is forwarded to.
   *
   * @param upstream - the upstream that executes the statement
   * @param tried - names of homes that were already tried for this statement
   * @param organisation - organisation on whose behalf the statement runs; empty for none
   * @returns the home; undefined when this host is a home itself, or when no home is eligible
   */
  choose: (upstream: KnownUpstream, tried: ReadonlySet<string>, organisation?: string) => KnownHost | undefined
  /**
   * Forwards a statement to a home and waits for the reply until the timeout, or until the home is disconnected. A
   * request with `onLateReply` is abandoned as soon as the home is suspected; see home-watch.ts.
   *
   * @param home - the home
   * @param request - the message
   * @returns the reply
   * @throws RequestError whose verdict says whether the statement may have run
   */
  forward: (home: KnownHost, request: ForwardRequest) => Promise<HomeReply>
  /**
   * Probes a home, unless it has answered recently. Called before a request whose outcome would be unknown if the home
   * failed.
   *
   * @param home - the home
   * @throws RequestError `PeerUnavailable` with verdict `not-run`
   */
  ensureAlive: (home: KnownHost) => Promise<void>
  /** How long a statement of a priority would wait at a home according to its reports, which decay, in milliseconds. */
  waitAt: (home: KnownHost, upstream: string, priority: number) => number
  /** Number of statements for an upstream that this host has forwarded and that are still in progress. */
  inProgressAt: (upstream: string) => number
  /** Whether a host responds, according to the requests of this host. */
  reachability: (host: KnownHost) => Reachability
  /** Probes a host in the background, unless it has answered recently. */
  probe: (host: KnownHost) => void
  /**
   * Finds the first host that is not known to be silent, and probes one of the silent hosts before it when that is due.
   *
   * @param hosts - the hosts in order of preference
   * @returns the host; undefined when all are silent
   */
  firstResponsive: (hosts: KnownHost[]) => KnownHost | undefined
  /** Home of an upstream that an organisation prefers; undefined if there is none. */
  preferredBy: (upstream: KnownUpstream, organisation: string) => KnownHost | undefined
  /**
   * Opens the link to a host and asks whether it is ready for callers. A host that does not answer counts as failed no
   * more than before.
   *
   * @returns whether it is ready; undefined if it does not answer
   */
  isReady: (host: KnownHost) => Promise<boolean | undefined>
  /** Sets the function that tells whether this host is ready; until then it says so. */
  setReadiness: (isReady: () => boolean) => void
  /** Records that a host has answered a request that was not sent through this plug-in. */
  recordAnswer: (host: KnownHost) => void
  /** Records that a host was unreachable or did not answer. */
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
    const selector = createHomeSelector()
    const count = metrics.registerCounter('worksward_passed_on', 'Statements passed on to homes, by outcome')
    const time = metrics.registerTiming('worksward_passed_on_milliseconds', 'Time of statements passed on to homes')
    const { of, placed, isHome, others } = createUpstreamHomes({
      registry, desiredState: use('desiredState'), directory
    })
    const starting = trackStartingHosts(registry)
    const detector = createHomeFailureDetector({ links, selector, logger, homes: others, starting })
    let isReadyHere = (): boolean => true
    // A missing field means that the host is ready, as every host of an older release says.
    handle('home-alive', async () => isReadyHere() ? {} : { ready: false })
    let { liveHosts } = registry.current
    registry.onChange(() => {
      if (registry.current.liveHosts !== liveHosts) {
        liveHosts = registry.current.liveHosts
        selector.retainHosts(liveHosts)
      }
    })
    directory.onChange(({ upstream, change }) => {
      if (change === 'gone') {
        selector.forgetUpstream(upstream.upstream)
      }
    })

    return {
      service: {
        of,
        isHome,
        choose: (upstream, tried, organisation = '') => {
          const { homes, shares } = placed(upstream)
          const self = homes.find(({ name }) => name === registry.self.name)
          if (self !== undefined && organisation === '') {
            return undefined
          }
          probeDueHost(homes, selector, detector)
          const candidates = candidateHomes(homes, self, organisation, shares)
          const chosen = selector.choose(upstream.upstream, candidates, tried, organisation, shares)
          return chosen === self ? undefined : chosen
        },
        forward: createForwarder({ links, selector, detector, count, time }),
        waitAt: selector.waitAt,
        inProgressAt: selector.inProgressAt,
        preferredBy: (upstream, organisation) => {
          const { homes, shares } = placed(upstream)
          return preferredHome(homes, organisation, shares)
        },
        isReady: async (host) => {
          try {
            const { ready } = aliveAnswerSchema.parse(await links.request(host, 'home-alive', {}, READY_TIMEOUT_MS))
            selector.recordAnswer(host, '')
            return ready !== false
          } catch {
            return undefined
          }
        },
        setReadiness: (isReady) => { isReadyHere = isReady },
        ...createReachability(selector, detector)
      },
      dump: () => Object.fromEntries(directory.all().map((upstream) =>
        [upstream.upstream, { group: upstream.group, homes: of(upstream).map(({ name }) => name) }]))
    }
  }
})

/** The methods of the service that track which hosts respond. */
function createReachability (
  selector: HomeSelector, detector: HomeFailureDetector
): Pick<Homes, 'ensureAlive' | 'reachability' | 'probe' | 'firstResponsive' | 'recordAnswer' | 'recordFailure'> {
  return {
    ensureAlive: async (home) => {
      if (!await detector.isAlive(home)) {
        throw silentHomeError(home, 'not-run')
      }
    },
    reachability: (host) => {
      if (selector.isSilent(host)) {
        return 'silent'
      }
      return Number.isFinite(selector.lastAnswerAt(host)) ? 'answers' : 'unknown'
    },
    probe: (host) => { void detector.isAlive(host) },
    firstResponsive: (hosts) => {
      const first = hosts.findIndex((host) => !selector.isSilent(host))
      probeDueHost(first < 0 ? hosts : hosts.slice(0, first), selector, detector)
      return hosts[first]
    },
    recordAnswer: (host) => selector.recordAnswer(host, ''),
    recordFailure: detector.recordFailure
  }
}

/** Probes the silent host whose next probe is due, if any. */
function probeDueHost (hosts: KnownHost[], selector: HomeSelector, detector: HomeFailureDetector): void {
  const due = selector.takeDueProbe(hosts)
  if (due !== undefined) {
    void detector.isAlive(due)
  }
}
