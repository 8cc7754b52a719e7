/**
 * Keeps the declarations of this process up to date: polls the platform, and fetches from peers that have a newer
 * revision. At startup, peers are also queried while the platform is unavailable.
 */
import type { MemberSettings } from '../../core/config/index.ts'
import { pause } from '../../core/time/deadline.ts'
import { formatEndpoint, parseEndpoint, type Endpoint } from '../../core/wire/dialer.ts'
import type { Peers } from '../../peers/index.ts'
import type { Membership } from '../membership/index.ts'
import type { ConfigurationStore } from './configuration-store.ts'
import type { AppliedDeclarations } from './applied-declarations.ts'
import { changesSchema } from './types.ts'

/** Timeout of a request to a peer, in milliseconds. */
const PEER_TIMEOUT_MS = 1000
/** Delay between attempts to load the first declarations at startup, in milliseconds. */
const STARTUP_RETRY_MS = 100
/** Minimum polling interval as a fraction of `pollMs`; a random jitter of up to `pollMs` is added. */
const MINIMUM_INTERVAL_FRACTION = 0.5

/** Options of {@link followChanges}. */
interface FollowOptions {
  settings: MemberSettings
  declarations: AppliedDeclarations
  store: ConfigurationStore
  peers: Peers
  membership: Membership
}

/** Polls the platform until it is closed, and fetches from peers on request. */
interface ChangesFollower {
  /**
   * Applies the changes that the platform has and this process lacks.
   *
   * @throws WorkswardError `PlatformUnavailable`
   */
  refresh: () => Promise<void>
  /**
   * Applies the changes that a peer has and this process lacks. Does nothing while a request to that peer is pending.
   *
   * @param peer - endpoint of the peer
   * @throws RequestError when the request fails or times out
   */
  fetchFromPeer: (peer: Endpoint) => Promise<void>
  /** Stops polling the platform. */
  close: () => void
}

/**
 * Starts to poll the platform for changes.
 *
 * @param options - the declarations to update, and the sources of changes
 * @returns the follower
 */
export function followChanges ({ settings, declarations, store, peers, membership }: FollowOptions): ChangesFollower {
  const pendingPeers = new Set<string>()
  const state = { closed: false }

  const refresh = async (): Promise<void> => {
    if (declarations.revision === 0 || await store.revision() > declarations.revision) {
      declarations.apply(await store.changesSince(declarations.revision))
    }
  }

  const fetchFromPeer = async (peer: Endpoint): Promise<void> => {
    const name = formatEndpoint(peer)
    if (pendingPeers.has(name)) {
      return
    }
    pendingPeers.add(name)
    try {
      const body = { revision: declarations.revision }
      const answer = await peers.request(peer, 'configuration-since', body, PEER_TIMEOUT_MS)
      declarations.apply(changesSchema.parse(answer))
    } finally {
      pendingPeers.delete(name)
    }
  }

  const poll = async (): Promise<void> => {
    const seeds = settings.peers.seeds.map(parseEndpoint)
    while (!state.closed) {
      const failed = await refresh().then(() => false, () => true)
      if (failed && !declarations.ready) {
        await Promise.allSettled([...seeds, ...membership.known()].map(fetchFromPeer))
      }
      await pause(declarations.ready ? addJitter(settings.platform.pollMs) : STARTUP_RETRY_MS)
    }
  }
  void poll()

  return { refresh, fetchFromPeer, close: () => { state.closed = true } }
}

/** Adds random jitter to the polling interval, so that processes do not poll the platform at the same time. */
function addJitter (pollMs: number): number {
  return pollMs * (MINIMUM_INTERVAL_FRACTION + Math.random())
}
