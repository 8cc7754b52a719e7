/** Plug-in `membership`: tracks which processes are alive, by heartbeats and the platform's list of hosts. */
import type { MemberSettings } from '../../core/config/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { repeat } from '../../core/time/repeat.ts'
import { parseEndpoint, type Endpoint } from '../../core/wire/dialer.ts'
import { createHeartbeats } from './heartbeats.ts'
import { createMemberList } from './member-list.ts'
import { createOpinions } from './opinions.ts'
import { readPlatformList } from './platform-list.ts'
import { heartbeatSchema, memberSchema, type Member } from './types.ts'

/** Service of the plug-in. */
export interface Membership {
  readonly self: Member
  /** Returns members that accept work: `live` or `suspect`. */
  available: (role: Member['role']) => Member[]
  /** Returns members in any state but `gone`. */
  known: () => Member[]
  /** Whether a member has no recent failure and is not suspect. */
  answers: (host: string) => boolean
  /** Records that a member did not answer a request, and sends it a heartbeat. */
  reportFailure: (host: string) => void
  /** Announces to all live members that this process is leaving. */
  leave: () => Promise<void>
  /** Announces with the next heartbeats that this process accepts work again. */
  rejoin: () => void
  /** Adds a listener that is called after every change of the member list. */
  onChange: (listener: () => void) => void
  /**
   * Sends the configuration revision of this process with its heartbeats.
   *
   * @param own - returns the revision of this process
   * @param onNewer - called when a member has a newer revision
   */
  shareRevision: (own: () => number, onNewer: (peer: Endpoint, revision: number) => void) => void
  /** Returns the last received configuration revision of each member, by host. */
  revisions: () => Map<string, number>
}

declare module '../../core/kernel/index.ts' {
  interface Services { membership: Membership }
}

/** States in which a member accepts work. */
const WORK_STATES: ReadonlyArray<Member['state']> = ['live', 'suspect']

registerPlugin({
  name: 'membership',
  dependencies: ['peers', 'platform'],
  start: (context) => {
    const settings = context.settings as MemberSettings
    const peers = context.use('peers')
    const { table } = context.use('platform')
    const list = createMemberList()
    const listeners: Array<() => void> = []
    let ownRevision = (): number => 0
    let onNewerRevision = (_peer: Endpoint, _revision: number): void => {}

    const opinions = createOpinions({
      self: describeSelf(settings, peers.port),
      list,
      logger: context.logger,
      onChange: () => listeners.forEach((listener) => listener()),
      onUnavailable: peers.disconnect
    })
    const heartbeats = createHeartbeats({
      peers,
      list,
      opinions,
      seeds: settings.peers.seeds.map(parseEndpoint),
      revision: () => ownRevision(),
      onNewerRevision: (peer, revision) => onNewerRevision(peer, revision)
    })

    peers.handle('heartbeat', async (body) => heartbeats.handleHeartbeat(heartbeatSchema.parse(body)))
    peers.handle('members', async (body) => {
      memberSchema.array().parse(body).forEach(opinions.hear)
      return list.all()
    })
    peers.handle('try-member', async (body) => await heartbeats.probeMember(memberSchema.parse(body)))

    const stopRounds = repeat(settings.peers.heartbeatMs, heartbeats.round)
    const stopPolling = repeat(settings.platform.hostsPollMs, async () => await readPlatformList(table, list, opinions))

    return {
      service: {
        get self () { return opinions.self },
        available: (role) => list.all().filter((member) => member.role === role && WORK_STATES.includes(member.state)),
        known: () => list.all().filter((member) => member.state !== 'gone'),
        answers: heartbeats.answers,
        reportFailure: (host) => {
          const member = list.get(host)
          if (member !== undefined && heartbeats.answers(host)) {
            heartbeats.reportFailure(member)
          }
        },
        leave: async () => {
          opinions.setOwnState('leaving')
          const live = list.all().filter((member) => member.state === 'live')
          await Promise.allSettled(live.map(heartbeats.sendOrSuspect))
        },
        rejoin: () => opinions.setOwnState('live'),
        onChange: (listener) => listeners.push(listener),
        shareRevision: (own, onNewer) => {
          ownRevision = own
          onNewerRevision = onNewer
        },
        revisions: () => heartbeats.revisions
      },
      dump: () => ({
        self: opinions.self, members: list.all(), revisions: Object.fromEntries(heartbeats.revisions)
      }),
      close: () => {
        stopRounds()
        stopPolling()
        opinions.close()
      }
    }
  }
})

function describeSelf ({ host, listen }: MemberSettings, port: number): Member {
  return {
    host: host.name,
    role: 'callers' in listen ? 'proxy' : 'keeper',
    failureDomain: host.failureDomain,
    address: host.address,
    port,
    startedAt: Date.now(),
    version: 1,
    state: 'live'
  }
}
