/**
 * Brings the declarations of this process up to date: from the platform at intervals, and from a peer that has a newer
 * revision. Peers are also asked at start while the platform does not answer.
 */
import type { MemberSettings } from '../../core/config/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { formatEndpoint, parseEndpoint, type Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { Membership } from '../membership/index.ts'
import type { ConfigurationStore } from './configuration-store.ts'
import type { DeclarationsInForce } from './declarations-in-force.ts'
import { changesSchema } from './types.ts'

/** Time in which a peer must answer, in milliseconds. */
const PEER_TIMEOUT_MS = 1000
/** Pause between two attempts to find declarations at start, in milliseconds. */
const START_PAUSE_MS = 100
/** Least part of the interval `pollMs` between two reads of the platform; up to a whole one is added at random. */
const LEAST_INTERVAL_PART = 0.5

/** Options of {@link followChanges}. */
interface FollowOptions {
  settings: MemberSettings
  declarations: DeclarationsInForce
  store: ConfigurationStore
  peers: Peers
  membership: Membership
}

/** Sources of changes, which are asked until it is closed. */
interface ChangesFollower {
  /**
   * Reads what the platform has.
   *
   * @throws WorkswardError `PlatformUnavailable`
   */
  refresh: () => Promise<void>
  /**
   * Reads what a peer has. Does nothing while that peer is being asked.
   *
   * @param peer - where it listens
   * @throws RequestError when the peer does not answer
   */
  askPeer: (peer: Endpoint) => Promise<void>
  /** Stops reading the platform. */
  close: () => void
}

/**
 * Starts following changes.
 *
 * @param options - the declarations to bring up to date, and their sources
 * @returns the follower
 */
export function followChanges ({ settings, declarations, store, peers, membership }: FollowOptions): ChangesFollower {
  const asking = new Set<string>()
  const state = { closed: false }

  const refresh = async (): Promise<void> => {
    if (declarations.revision === 0 || await store.revision() > declarations.revision) {
      declarations.apply(await store.changesSince(declarations.revision))
    }
  }

  const askPeer = async (peer: Endpoint): Promise<void> => {
    const name = formatEndpoint(peer)
    if (asking.has(name)) {
      return
    }
    asking.add(name)
    try {
      const body = { revision: declarations.revision }
      const answer = await peers.request(peer, 'configuration-since', body, PEER_TIMEOUT_MS)
      declarations.apply(changesSchema.parse(answer))
    } finally {
      asking.delete(name)
    }
  }

  const follow = async (): Promise<void> => {
    const seeds = settings.peers.seeds.map(parseEndpoint)
    while (!state.closed) {
      const failed = await refresh().then(() => false, () => true)
      if (failed && !declarations.ready) {
        await Promise.allSettled([...seeds, ...membership.known()].map(askPeer))
      }
      await pause(declarations.ready ? drawIntervalMs(settings.platform.pollMs) : START_PAUSE_MS)
    }
  }
  void follow()

  return { refresh, askPeer, close: () => { state.closed = true } }
}

/** Draws the time until the next read, so that the processes of a deployment do not read all at once. */
function drawIntervalMs (pollMs: number): number {
  return pollMs * (LEAST_INTERVAL_PART + Math.random())
}
