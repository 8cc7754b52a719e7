/**
 * Failure detector for homes. A home that statements wait for is probed when it has not answered anything for a while.
 * Without an answer it is first suspected: it is skipped until it answers, and requests that can run elsewhere abandon
 * it. Later its link is closed, and the requests that wait there fail.
 *
 * When several homes are silent, all others are probed, and when one answers again, all silent ones are, so that the
 * beginning and the end of a partition are detected for all homes at once.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import type { Peers } from '../../peers/index.ts'
import { isLinkPending } from '../../peers/refusal.ts'
import type { KnownHost } from '../registry/index.ts'
import type { HomeSelector } from './home-choice.ts'
import type { StartingHosts } from './starting-hosts.ts'

/** Time without an answer after which a home is probed, in milliseconds. */
export const PROBE_AFTER_IDLE_MS = 150
/**
 * Time from the probe until the home is suspected, in milliseconds. It exceeds the time that a process takes to answer
 * while its processor quota is exhausted, up to 100 ms.
 */
export const SUSPECT_AFTER_MS = 150
/** The same time for a home that may have started just now, in milliseconds; see starting-hosts.ts. */
export const SUSPECT_STARTING_AFTER_MS = 500
/**
 * Time from the probe until the link is closed, in milliseconds. It is about the deadline of a statement on most
 * routes: a write in progress cannot be sent again, so a late answer is better than an unknown outcome.
 */
export const DISCONNECT_AFTER_MS = 800
/**
 * Number of silent homes from which on all others are probed, and the least time between two such rounds, in
 * milliseconds. A single silent home is more likely stopped or paused than cut off by a partition.
 */
export const PROBE_ALL = { silentHomes: 2, minimumIntervalMs: 1000 } as const

/** Options of {@link createHomeFailureDetector}. */
interface FailureDetectorOptions {
  links: Pick<Peers['work'], 'request' | 'disconnect'>
  selector: Pick<HomeSelector, 'recordAnswer' | 'recordFailure' | 'isSilent' | 'lastAnswerAt'>
  logger: Logger
  /** Homes that this host may forward statements to. */
  homes: () => KnownHost[]
  starting: StartingHosts
}

/** Detects homes that do not respond. */
export interface HomeFailureDetector {
  /**
   * Checks whether a home is alive. A home that has answered within {@link PROBE_AFTER_IDLE_MS} is not probed.
   *
   * @param home - the home
   * @returns whether it has answered within {@link SUSPECT_AFTER_MS}, or {@link SUSPECT_STARTING_AFTER_MS}
   */
  isAlive: (home: KnownHost) => Promise<boolean>
  /**
   * Checks periodically whether a home is alive while a request waits for it.
   *
   * @param home - the home
   * @param onSuspected - called each time that the home is found not to be alive
   * @param onCheck - called at each check, {@link PROBE_AFTER_IDLE_MS} apart
   * @returns stops probing
   */
  probeWhileWaiting: (home: KnownHost, onSuspected: () => void, onCheck?: () => void) => () => void
  /**
   * Records that a home was unreachable or did not answer. Does nothing if the link to a home that may have started
   * just now is still being opened.
   */
  recordFailure: (home: KnownHost, thrown: unknown) => void
}

/**
 * Creates the failure detector.
 *
 * @param options - the links to probe, and the selector that stores the results
 * @returns the failure detector
 */
export function createHomeFailureDetector (options: FailureDetectorOptions): HomeFailureDetector {
  const { links, selector, logger, starting } = options
  /** Probes in progress by home, shared by all callers; each resolves to whether the answer came in time. */
  const probing = new Map<string, Promise<boolean>>()
  const probeRounds = createProbeRounds(options, (home) => { void isAlive(home) })

  const recordSilence = (home: KnownHost): void => {
    const wasSilent = selector.isSilent(home)
    selector.recordFailure(home)
    if (!wasSilent) {
      probeRounds.onSilent()
    }
  }
  const recordFailure = (home: KnownHost, thrown: unknown): void => {
    if (isLinkPending(thrown) && starting.isStarting(home)) {
      return
    }
    recordSilence(home)
    logger.log('info', 'home.failed', { peer: home.name, reason: describeThrown(thrown) })
  }
  const requestAnswer = async (home: KnownHost): Promise<boolean> => {
    try {
      await links.request(home, 'home-alive', {}, DISCONNECT_AFTER_MS)
      const wasSilent = selector.isSilent(home)
      selector.recordAnswer(home, '')
      if (wasSilent) {
        probeRounds.onRecovered()
      }
      return true
    } catch (thrown) {
      recordFailure(home, thrown)
      links.disconnect(home)
      return false
    }
  }
  const suspectUnlessAnswered = async (home: KnownHost, answer: Promise<boolean>): Promise<boolean> => {
    const inTime = await withTimeout(
      answer, starting.isStarting(home) ? SUSPECT_STARTING_AFTER_MS : SUSPECT_AFTER_MS)
    if (inTime === TIMED_OUT) {
      recordSilence(home)
      const silentMs = Math.round(performance.now() - selector.lastAnswerAt(home))
      logger.log('info', 'home.slow', { peer: home.name, silentMs })
      return false
    }
    return inTime
  }
  const probe = (home: KnownHost): Promise<boolean> => {
    const answer = requestAnswer(home).finally(() => probing.delete(home.name))
    const answeredInTime = suspectUnlessAnswered(home, answer)
    probing.set(home.name, answeredInTime)
    return answeredInTime
  }
  const hasAnsweredRecently = (home: KnownHost): boolean =>
    performance.now() - selector.lastAnswerAt(home) <= PROBE_AFTER_IDLE_MS
  const isAlive = async (home: KnownHost): Promise<boolean> =>
    hasAnsweredRecently(home) || await (probing.get(home.name) ?? probe(home))
  return {
    isAlive,
    probeWhileWaiting: (home, onSuspected, onCheck) => {
      const timer = setInterval(() => {
        onCheck?.()
        void isAlive(home).then((alive) => alive || onSuspected())
      }, PROBE_AFTER_IDLE_MS)
      return () => clearInterval(timer)
    },
    recordFailure
  }
}

/** Probes other homes after one of them has changed. */
interface ProbeRounds {
  /** Called when a home becomes silent; probes all others that have answered before once several are silent. */
  onSilent: () => void
  /** Called when a silent home answers; probes all silent ones, since a partition may have ended. */
  onRecovered: () => void
}

function createProbeRounds (
  { selector, logger, homes }: FailureDetectorOptions, probe: (home: KnownHost) => void
): ProbeRounds {
  let startedAt = -Infinity
  return {
    onSilent: () => {
      const known = homes()
      const silent = known.filter(selector.isSilent)
      if (silent.length < PROBE_ALL.silentHomes || performance.now() - startedAt < PROBE_ALL.minimumIntervalMs) {
        return
      }
      startedAt = performance.now()
      const others = known.filter((home) => !selector.isSilent(home) && Number.isFinite(selector.lastAnswerAt(home)))
      others.forEach(probe)
      logger.log('info', 'home.all-probed', { silent: silent.length, asked: others.length })
    },
    onRecovered: () => homes().filter(selector.isSilent).forEach(probe)
  }
}
