/**
 * Forwards statements to homes: decides how long to wait for the reply and what the outcome says about the home.
 *
 * The wait ends with the reply or with the timeout. A request with `onLateReply` also ends when the home is suspected
 * (home-watch.ts); a reply that arrives up to {@link DISCONNECT_AFTER_MS} after the timeout is then passed to
 * `onLateReply`. Only `PeerUnavailable` counts as a failure of the home; any other error shows that it responds.
 */
import { RequestError, type Verdict } from '../../core/errors/index.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { HomeSelector } from './home-choice.ts'
import { DISCONNECT_AFTER_MS, PROBE_AFTER_IDLE_MS, type HomeFailureDetector } from './home-watch.ts'
import { homeReply, type HomeReply } from './messages.ts'

/** A message that is forwarded to a home. */
export interface ForwardRequest {
  /** Name of the upstream that executes the statement. */
  upstream: string
  /** Type of the message. */
  type: string
  body: unknown
  /** Priority of the statement, to which the wait that the home reports applies. */
  priority?: number
  /** Longest wait for the reply, in milliseconds. */
  timeoutMs: number
  /**
   * Receives a reply that arrives after the request was abandoned. Set only where a silent home may be abandoned: the
   * statement can run again elsewhere, or its effects are undone.
   */
  onLateReply?: (reply: HomeReply) => void
  /**
   * Called at each check while the request waits, {@link PROBE_AFTER_IDLE_MS} apart, with the time since it was sent in
   * milliseconds. If it returns true, the request is abandoned; this says nothing about the home. Requires
   * `onLateReply`.
   */
  shouldAbandon?: (elapsedMs: number) => boolean
}

/** The request was abandoned although its home responds, since its upstream is slow. */
class AbandonedAtUpstream extends RequestError<'ConnectionLost'> {}

/** Options of {@link createForwarder}. */
interface ForwarderOptions {
  links: Pick<Peers['work'], 'request'>
  selector: Pick<HomeSelector, 'recordSent' | 'recordEnded' | 'recordAnswer'>
  detector: Pick<HomeFailureDetector, 'probeWhileWaiting' | 'recordFailure'>
  /** Counts outcomes: `answered`, `unreadable`, or the name of an error. */
  count: (outcome: string) => void
  /** Records how long a message took, by its type. */
  time: (type: string, durationMs: number) => void
}

/** Forwards a statement to a home; see `Homes.forward`. */
type Forward = (home: KnownHost, request: ForwardRequest) => Promise<HomeReply>

/**
 * Creates the function that forwards statements.
 *
 * @param options - the links to homes, and where outcomes are recorded
 * @returns the function
 */
export function createForwarder (options: ForwarderOptions): Forward {
  const { selector, detector, count, time } = options
  return async (home, request) => {
    const { upstream, type, priority } = request
    const sentAt = performance.now()
    selector.recordSent(home, upstream)
    try {
      const reply = await waitForReply(home, request, options)
      selector.recordAnswer(home, upstream, reply, performance.now() - sentAt - (reply.ranMs ?? 0), priority)
      count('answered')
      return reply
    } catch (thrown) {
      if (!(thrown instanceof AbandonedAtUpstream)) {
        const isUnavailable = thrown instanceof RequestError && thrown.entry === 'PeerUnavailable'
        isUnavailable ? detector.recordFailure(home, thrown) : selector.recordAnswer(home, upstream)
      }
      count(thrown instanceof RequestError ? thrown.entry : 'unreadable')
      throw thrown
    } finally {
      selector.recordEnded(home, upstream)
      time(type, performance.now() - sentAt)
    }
  }
}

async function waitForReply (
  home: KnownHost, { upstream, type, body, timeoutMs, onLateReply, shouldAbandon }: ForwardRequest,
  { links, detector }: ForwarderOptions
): Promise<HomeReply> {
  return await new Promise((resolve, reject) => {
    const sentAt = performance.now()
    const endsAt = sentAt + timeoutMs
    let isAbandoned = false
    let timer: NodeJS.Timeout | undefined
    const abandon = (): void => {
      isAbandoned = true
      reject(silentHomeError(home, 'may-have-run'))
    }
    const startTimer = (): void => {
      timer ??= setTimeout(abandon, endsAt - performance.now())
    }
    const check = (): void => {
      startTimer()
      if (!isAbandoned && shouldAbandon?.(performance.now() - sentAt) === true) {
        isAbandoned = true
        reject(new AbandonedAtUpstream('may-have-run', 'ConnectionLost', { upstream, reason: 'it is slow to answer' }))
      }
    }
    // Most replies come before the first check, so a longer timeout is started only then.
    const stopProbing = detector.probeWhileWaiting(home, () => onLateReply !== undefined && abandon(), check)
    if (timeoutMs <= PROBE_AFTER_IDLE_MS) {
      startTimer()
    }
    const lateMs = onLateReply === undefined ? 0 : DISCONNECT_AFTER_MS
    links.request(home, type, body, timeoutMs + lateMs).finally(() => {
      stopProbing()
      clearTimeout(timer)
    }).then((answer) => {
      const reply = homeReply.read(answer)
      isAbandoned ? onLateReply?.(reply) : resolve(reply)
    }).catch(reject)
  })
}

/**
 * Creates the error for a home that does not respond.
 *
 * @param home - the home
 * @param verdict - whether the request may have run
 * @returns the error
 */
export function silentHomeError (home: KnownHost, verdict: Verdict): RequestError {
  return new RequestError(verdict, 'PeerUnavailable', { peer: home.name, reason: 'it does not answer' })
}
