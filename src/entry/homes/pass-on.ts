/**
 * How long a statement that was passed on is waited for, and what its outcome says about the home.
 *
 * Inputs: the greatest wait in milliseconds, whether the home may be left when it is silent. Rule: the wait ends with
 * the answer, with the greatest wait, or, where the home may be left, when it is suspected (home-watch.ts); an answer
 * that comes within {@link HOME_GONE_MS} after the greatest wait is then handed over as a late one. A home that could
 * not be reached counts as failed; any other error shows that it answers.
 */
import { RequestError, type Verdict } from '../../core/errors/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { HomeChoice } from './home-choice.ts'
import { HOME_GONE_MS, type HomeWatch } from './home-watch.ts'
import { homeReplySchema, type HomeReply } from './messages.ts'

/** What is passed on to a home. */
export interface ForwardRequest {
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

/** Options of {@link createPassOn}. */
interface PassOnOptions {
  links: Pick<Peers['work'], 'request'>
  choice: Pick<HomeChoice, 'recordSent' | 'recordEnded' | 'recordAnswer'>
  watch: Pick<HomeWatch, 'probeWhileWaiting' | 'recordFailure'>
  /** Counts outcomes: `answered`, `unreadable`, or the name of an error. */
  count: (outcome: string) => void
  /** Records the time of a message, by its type. */
  time: (type: string, durationMs: number) => void
}

/** Passes a statement on to a home; see `Homes.ask`. */
type PassOn = (home: KnownHost, passed: ForwardRequest) => Promise<HomeReply>

/**
 * Creates what passes statements on.
 *
 * @param options - the links, and what records the outcomes
 * @returns passes a statement on
 */
export function createPassOn (options: PassOnOptions): PassOn {
  const { choice, watch, count, time } = options
  return async (home, passed) => {
    const { upstream, type } = passed
    const sentAt = performance.now()
    choice.recordSent(home, upstream)
    try {
      const reply = await waitForReply(home, passed, options)
      choice.recordAnswer(home, upstream, reply, performance.now() - sentAt - (reply.ranMs ?? 0))
      count('answered')
      return reply
    } catch (thrown) {
      const isMissing = thrown instanceof RequestError && thrown.entry === 'PeerUnavailable'
      isMissing ? watch.recordFailure(home, thrown) : choice.recordAnswer(home, upstream)
      count(thrown instanceof RequestError ? thrown.entry : 'unreadable')
      throw thrown
    } finally {
      choice.recordEnded(home, upstream)
      time(type, performance.now() - sentAt)
    }
  }
}

async function waitForReply (
  home: KnownHost, { type, body, timeoutMs, onLateReply }: ForwardRequest, { links, watch }: PassOnOptions
): Promise<HomeReply> {
  return await new Promise((resolve, reject) => {
    let isLeft = false
    const leave = (): void => {
      isLeft = true
      reject(homeSilent(home, 'may-have-run'))
    }
    const stopProbing = watch.probeWhileWaiting(home, () => onLateReply !== undefined && leave())
    const timer = setTimeout(leave, timeoutMs)
    const lateMs = onLateReply === undefined ? 0 : HOME_GONE_MS
    links.request(home, type, body, timeoutMs + lateMs).finally(() => {
      stopProbing()
      clearTimeout(timer)
    }).then((answer) => {
      const reply = homeReplySchema.parse(answer)
      isLeft ? onLateReply?.(reply) : resolve(reply)
    }).catch(reject)
  })
}

/**
 * Creates the error of a home that does not answer.
 *
 * @param home - the home
 * @param verdict - whether the request may have run
 * @returns the error
 */
export function homeSilent (home: KnownHost, verdict: Verdict): RequestError {
  return new RequestError(verdict, 'PeerUnavailable', { peer: home.name, reason: 'it does not answer' })
}
