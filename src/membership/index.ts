/**
 * Plug-in `membership`: who is there. Four sources are merged: the platform's list, which lags; heartbeats to a few
 * peers at a time, which carry what others have heard; suspicions that a second peer confirmed; and evidence from the
 * data path. No source alone declares a process gone.
 */
import type { MemberSettings } from '../core/config/index.ts'
import { registerPlugin } from '../core/kernel/index.ts'
import { parseEndpoint, type Endpoint } from '../core/wire/dialer.ts'
import { hostRowSchema, LOWEST_SORT, PARTITIONS } from '../platform/types.ts'
import type { Peers } from '../peers/index.ts'
import { createMemberList } from './member-list.ts'
import { heartbeatSchema, memberSchema, type Heartbeat, type Member } from './types.ts'

/** Service of the plug-in. */
export interface Membership {
  readonly self: Member
  /** Members that may do work: those that are neither gone nor leaving. */
  present: (role: Member['role']) => Member[]
  /** All members that are not gone, those that leave included. */
  known: () => Member[]
  /** Whether a member answered when last tried. */
  answers: (host: string) => boolean
  /** Takes note that a member did not answer a request. */
  reportFailure: (host: string) => void
  /** Says to everybody that this process leaves. */
  leave: () => Promise<void>
  /** Says to everybody that this process is back in work. */
  rejoin: () => void
  /** Calls back whenever the list has changed. */
  onChange: (listener: () => void) => void
  /** Says which configuration revision this process has, and learns of newer ones. */
  shareRevision: (own: () => number, onNewer: (peer: Endpoint, revision: number) => void) => void
  /** Configuration revision of each member, as last heard. */
  revisions: () => Map<string, number>
}

declare module '../core/kernel/index.ts' {
  interface Services { membership: Membership }
}

/** Members asked in each round of heartbeats. */
const FANOUT = 2
const HEARTBEAT_TIMEOUT_MS = 400
/** Time a suspect has to refute before it is taken for gone, in milliseconds. */
const SUSPICION_MS = 1000
/** Time for which a member that failed a request is tried last, in milliseconds. */
const AVOID_MS = 500
/** Changes passed on with a heartbeat. */
const PASSED_ON = 16
/** Rounds for which a change is passed on. */
const PASSED_ON_ROUNDS = 6

/** Rounds after which whole lists are exchanged with a member whose digest differs. */
const EXCHANGE_EVERY = 4

registerPlugin({
  name: 'membership',
  needs: ['peers', 'platform'],
  start: (context) => {
    const settings = context.settings as MemberSettings
    const peers = context.use('peers')
    const { table } = context.use('platform')
    const list = createMemberList()
    const listeners: Array<() => void> = []
    const news = new Map<string, number>()
    const avoided = new Map<string, number>()
    const revisions = new Map<string, number>()
    const timers = new Set<NodeJS.Timeout>()
    const seeds = settings.peers.seeds.map(parseEndpoint)
    let ownRevision = (): number => 0
    let onNewerRevision = (_peer: Endpoint, _revision: number): void => {}
    let turn = 0

    let self: Member = {
      host: settings.host.name,
      role: 'callers' in settings.listen ? 'proxy' : 'keeper',
      failureDomain: settings.host.failureDomain,
      address: settings.host.address,
      port: peers.port,
      startedAt: Date.now(),
      version: 1,
      state: 'live'
    }
    list.merge(self)
    const others = (): Member[] => list.all().filter((member) => member.host !== self.host)
    const changeSelf = (change: Pick<Member, 'version' | 'state'>): void => {
      self = { ...self, ...change }
      list.merge(self)
      news.set(self.host, PASSED_ON_ROUNDS)
      listeners.forEach((listener) => listener())
    }

    const merge = (member: Member): void => {
      if (member.host === self.host) {
        hearOfSelf(member)
        return
      }
      const before = list.get(member.host)?.state
      if (!list.merge(member)) {
        return
      }
      news.set(member.host, PASSED_ON_ROUNDS)
      if (before !== member.state) {
        context.logger.log('info', 'member.state', { peer: member.host, state: member.state, before })
      }
      if (member.state === 'suspect' || member.state === 'gone') {
        peers.disconnect(member)
      }
      if (member.state === 'suspect') {
        expectRefutation(member)
      }
      listeners.forEach((listener) => listener())
    }

    /** A suspicion is refuted; word that this process leaves is taken from whoever brings it. */
    const hearOfSelf = (opinion: Member): void => {
      if (opinion.startedAt !== self.startedAt || opinion.version < self.version || opinion.state === self.state) {
        return
      }
      const state = opinion.state === 'leaving' ? 'leaving' : self.state
      changeSelf({ version: opinion.version + 1, state })
    }

    const later = (delayMs: number, work: () => void): void => {
      const timer = setTimeout(() => {
        timers.delete(timer)
        work()
      }, delayMs)
      timers.add(timer)
    }

    const expectRefutation = (suspect: Member): void => later(SUSPICION_MS, () => {
      const current = list.get(suspect.host)
      if (current?.state === 'suspect' && current.version === suspect.version) {
        merge({ ...current, state: 'gone' })
      }
    })

    const describe = (): Heartbeat => {
      const passedOn: Member[] = []
      for (const [host, rounds] of news) {
        const member = host === self.host ? undefined : list.get(host)
        if (member !== undefined && passedOn.length < PASSED_ON) {
          passedOn.push(member)
        }
        rounds > 1 ? news.set(host, rounds - 1) : news.delete(host)
      }
      list.expire()
      return { members: [self, ...passedOn], digest: list.digest(), revision: ownRevision() }
    }

    const hear = (heartbeat: Heartbeat): void => {
      heartbeat.members.forEach(merge)
      const sender = heartbeat.members[0]
      if (sender === undefined) {
        return
      }
      revisions.set(sender.host, heartbeat.revision)
      avoided.delete(sender.host)
      if (heartbeat.revision > ownRevision()) {
        onNewerRevision(sender, heartbeat.revision)
      }
    }

    const exchangeLists = async (endpoint: Endpoint): Promise<void> => {
      const theirs = await peers.request(endpoint, 'members', list.all(), HEARTBEAT_TIMEOUT_MS)
      memberSchema.array().parse(theirs).forEach(merge)
    }

    const beat = async (endpoint: Endpoint): Promise<void> => {
      const answer = heartbeatSchema.parse(
        await peers.request(endpoint, 'heartbeat', describe(), HEARTBEAT_TIMEOUT_MS))
      hear(answer)
      if (answer.digest !== list.digest() && turn % EXCHANGE_EVERY === 0) {
        await exchangeLists(endpoint)
      }
    }

    const beatMember = async (member: Member): Promise<void> => {
      try {
        await beat(member)
      } catch {
        await suspect(member)
      }
    }

    /** Asks another member to try before suspecting; a broken link of our own is not a failure of the other. */
    const suspect = async (member: Member): Promise<void> => {
      avoided.set(member.host, performance.now() + AVOID_MS)
      const helper = others().find((other) => other.state === 'live' && other.host !== member.host)
      const confirmed = helper === undefined || !await answersTo(peers, helper, member)
      const current = list.get(member.host)
      if (confirmed && current !== undefined && (current.state === 'live' || current.state === 'leaving')) {
        merge({ ...current, state: current.state === 'leaving' ? 'gone' : 'suspect' })
      }
    }

    const round = async (): Promise<void> => {
      turn++
      const reachable = others().filter((member) => member.state !== 'gone')
      if (reachable.length === 0) {
        await Promise.allSettled(seeds.map(async (seed) => await exchangeLists(seed)))
        return
      }
      const chosen = Array.from({ length: Math.min(FANOUT, reachable.length) },
        (_value, index) => reachable[(turn * FANOUT + index) % reachable.length]!)
      await Promise.allSettled([...new Set(chosen)].map(beatMember))
      if (turn % EXCHANGE_EVERY === 0) {
        const strangers = seeds.filter((seed) => !reachable.some((member) => isAt(member, seed)) && !isAt(self, seed))
        await Promise.allSettled(strangers.map(async (seed) => await exchangeLists(seed)))
      }
    }

    const readPlatformList = async (): Promise<void> => {
      const rows = await table.list(PARTITIONS.hosts, LOWEST_SORT)
      for (const row of rows) {
        const host = hostRowSchema.parse(JSON.parse(row.body))
        if (host.host === self.host && host.state === 'leaving') {
          hearOfSelf({ ...self, state: 'leaving' })
          continue
        }
        const known = list.get(host.host)
        if (known === undefined) {
          merge({ ...host, startedAt: 0, version: 0, state: host.state })
        } else if (host.state === 'leaving' && known.state === 'live') {
          merge({ ...known, state: 'leaving' })
        }
      }
    }

    peers.handle('heartbeat', async (body) => {
      hear(heartbeatSchema.parse(body))
      return describe()
    })
    peers.handle('members', async (body) => {
      memberSchema.array().parse(body).forEach(merge)
      return list.all()
    })
    peers.handle('try-member', async (body) => {
      const target = memberSchema.parse(body)
      await peers.request(target, 'heartbeat', describe(), HEARTBEAT_TIMEOUT_MS)
      return true
    })

    const repeat = (intervalMs: number, work: () => Promise<void>): void => {
      const again = (): void => {
        void work().catch(() => {}).finally(() => {
          if (!closed) {
            later(intervalMs * (0.75 + Math.random() / 2), again)
          }
        })
      }
      again()
    }
    let closed = false
    repeat(settings.peers.heartbeatMs, round)
    repeat(settings.platform.hostsPollMs, readPlatformList)

    return {
      service: {
        get self () { return self },
        present: (role) => list.all().filter((member) =>
          member.role === role && (member.state === 'live' || member.state === 'suspect')),
        known: () => list.all().filter((member) => member.state !== 'gone'),
        answers: (host) => (avoided.get(host) ?? 0) < performance.now() && list.get(host)?.state !== 'suspect',
        reportFailure: (host) => {
          const member = list.get(host)
          if (member !== undefined && (avoided.get(host) ?? 0) < performance.now()) {
            avoided.set(host, performance.now() + AVOID_MS)
            void beatMember(member)
          }
        },
        leave: async () => {
          changeSelf({ version: self.version + 1, state: 'leaving' })
          const live = others().filter((member) => member.state === 'live')
          await Promise.allSettled(live.map(async (member) => await beat(member)))
        },
        rejoin: () => changeSelf({ version: self.version + 1, state: 'live' }),
        onChange: (listener) => listeners.push(listener),
        shareRevision: (own, onNewer) => {
          ownRevision = own
          onNewerRevision = onNewer
        },
        revisions: () => revisions
      },
      dump: () => ({ self, members: list.all(), revisions: Object.fromEntries(revisions) }),
      close: () => {
        closed = true
        timers.forEach((timer) => clearTimeout(timer))
      }
    }
  }
})

async function answersTo (peers: Peers, helper: Member, member: Member): Promise<boolean> {
  try {
    return await peers.request(helper, 'try-member', member, HEARTBEAT_TIMEOUT_MS * 2) === true
  } catch {
    return false
  }
}

function isAt (member: Member, endpoint: Endpoint): boolean {
  return member.address === endpoint.address && member.port === endpoint.port
}
