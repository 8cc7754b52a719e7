/**
 * When a home counts as silent towards this host that asks it, and when its link is broken: a home that is slow is
 * suspected, one that is gone loses its link. (limits/recent-requesters.ts watches hosts that no longer request, and
 * limits/process-pauses.ts this process itself.)
 *
 * Inputs: when a home last answered, and when a probe was sent, in milliseconds. Rule: a home that statements wait for
 * is probed when it has answered nothing for {@link UNHEARD_MS}. One that does not answer the probe in {@link
 * PROBE_ANSWER_MS} is suspected: what can run elsewhere leaves it, and it is skipped until it answers. After {@link
 * HOME_GONE_MS} its link is broken. When several homes are silent, all others with a link are probed; when one answers
 * again, all silent ones are.
 * Why: requests of callers find out one home at a time, at 0.2 to 0.3 s each, and again at
 * each other home when hosts are cut in two.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { HomeChoice } from './home-choice.ts'

/** Time after which a home that has answered nothing is probed, in milliseconds. */
export const UNHEARD_MS = 150
/**
 * Time that it then has to answer before it is suspected, in milliseconds: a process with little to do answers within
 * some tens, and one that has used up its share of a core within a hundred.
 */
export const PROBE_ANSWER_MS = 150
/**
 * Time that it then has to answer before its link is broken and what waits there fails, in milliseconds: as long as
 * most routes give a statement; what is in doubt is not sent again, so that a late answer serves a caller better.
 */
export const HOME_GONE_MS = 800
/**
 * Silent homes from which on all others with a link are probed as well, and the least pause between two such rounds, in
 * milliseconds: one may have ended or be paused, while more at once are often those beyond a partition.
 */
export const PROBE_OTHERS = { silent: 2, pauseMs: 1000 } as const

/** Options of {@link createHomeWatch}. */
interface HomeWatchOptions {
  links: Pick<Peers['work'], 'request' | 'disconnect'>
  choice: Pick<HomeChoice, 'recordAnswer' | 'recordFailure' | 'isSilent' | 'lastAnswerAt'>
  logger: Logger
  /** Homes that this host may pass statements on to. */
  homes: () => KnownHost[]
}

/** Watches homes that statements wait for. */
export interface HomeWatch {
  /**
   * Checks whether a home is alive: probes it, unless it has answered just now.
   *
   * @param home - the home
   * @returns whether it answered soon enough
   */
  isAlive: (home: KnownHost) => Promise<boolean>
  /**
   * Probes a home again and again for as long as it stays silent.
   *
   * @param home - the home
   * @param onSuspected - called each time that it has not answered soon enough
   * @returns stops probing
   */
  probeWhileWaiting: (home: KnownHost, onSuspected: () => void) => () => void
  /** Records that a home could not be reached, or has not answered. */
  recordFailure: (home: KnownHost, thrown: unknown) => void
}

/**
 * Creates the watch.
 *
 * @param options - the links, and the choice that records what is seen
 * @returns the watch
 */
export function createHomeWatch (options: HomeWatchOptions): HomeWatch {
  const { links, choice, logger } = options
  /** Probes in progress by home, and whether they are answered soon: all that wait for the same home share them. */
  const probing = new Map<string, Promise<boolean>>()
  const probeOthers = createRoundOfOthers(options, (home) => { void isAlive(home) })

  const recordSilence = (home: KnownHost): void => {
    const wasSilent = choice.isSilent(home)
    choice.recordFailure(home)
    if (!wasSilent) {
      probeOthers.onSilent()
    }
  }
  const recordFailure = (home: KnownHost, thrown: unknown): void => {
    recordSilence(home)
    logger.log('info', 'home.failed', { peer: home.name, reason: describeThrown(thrown) })
  }
  const answers = async (home: KnownHost): Promise<boolean> => {
    try {
      await links.request(home, 'home-alive', {}, HOME_GONE_MS)
      const wasSilent = choice.isSilent(home)
      choice.recordAnswer(home, '')
      if (wasSilent) {
        probeOthers.onBack()
      }
      return true
    } catch (thrown) {
      recordFailure(home, thrown)
      links.disconnect(home)
      return false
    }
  }
  const answersSoon = async (home: KnownHost, answer: Promise<boolean>): Promise<boolean> => {
    const inTime = await withTimeout(answer, PROBE_ANSWER_MS)
    if (inTime === TIMED_OUT) {
      recordSilence(home)
      const silentMs = Math.round(performance.now() - choice.lastAnswerAt(home))
      logger.log('info', 'home.slow', { peer: home.name, silentMs })
      return false
    }
    return inTime
  }
  const probe = (home: KnownHost): Promise<boolean> => {
    const answer = answers(home).finally(() => probing.delete(home.name))
    const soon = answersSoon(home, answer)
    probing.set(home.name, soon)
    return soon
  }
  const hasAnsweredLately = (home: KnownHost): boolean =>
    performance.now() - choice.lastAnswerAt(home) <= UNHEARD_MS
  const isAlive = async (home: KnownHost): Promise<boolean> =>
    hasAnsweredLately(home) || await (probing.get(home.name) ?? probe(home))
  return {
    isAlive,
    probeWhileWaiting: (home, onSuspected) => {
      const timer = setInterval(() => {
        void isAlive(home).then((alive) => alive || onSuspected())
      }, UNHEARD_MS)
      return () => clearInterval(timer)
    },
    recordFailure
  }
}

/** Probes of homes beside the one that was seen to change. */
interface RoundOfOthers {
  /** A home has become silent: with several, all others that have answered before are probed. */
  onSilent: () => void
  /** A silent home has answered: the end of a partition brings all homes back that were beyond it. */
  onBack: () => void
}

function createRoundOfOthers (
  { choice, logger, homes }: HomeWatchOptions, probe: (home: KnownHost) => void
): RoundOfOthers {
  let startedAt = -Infinity
  return {
    onSilent: () => {
      const known = homes()
      const silent = known.filter(choice.isSilent)
      if (silent.length < PROBE_OTHERS.silent || performance.now() - startedAt < PROBE_OTHERS.pauseMs) {
        return
      }
      startedAt = performance.now()
      const others = known.filter((home) => !choice.isSilent(home) && Number.isFinite(choice.lastAnswerAt(home)))
      others.forEach(probe)
      logger.log('info', 'home.all-asked', { silent: silent.length, asked: others.length })
    },
    onBack: () => homes().filter(choice.isSilent).forEach(probe)
  }
}
