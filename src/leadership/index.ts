/**
 * Plug-in `leadership`: which upstream is the primary of each group, whether this host may work there, and the making
 * of another primary. See docs/PLATFORM.md for why it is safe.
 */
import { describeThrown } from '../core/errors/index.ts'
import { registerPlugin } from '../core/kernel/index.ts'
import { pause } from '../core/time/deadline.ts'
import { repeat } from '../core/time/repeat.ts'
import { isRefusal, registryKeys, type DutyRow, type GroupRow, type KnownHost } from '../registry/index.ts'
import {
  CLOSE_TRY_MS, CLOSING_MS, HEARD_MS, LAPSE_SLACK_MS, PROBE_MS, REACH_MS, RETRY_MS, SUSPECT_MS, WATCH_MS
} from './consts.ts'
import { RIGHT_MS } from '../registry/consts.ts'
import { takeDuty } from './duty.ts'
import { createExtensions } from './extensions.ts'
import { createRights, type Rights } from './rights.ts'
import { runSuccession } from './succession.ts'
import { countReach, isLostToMost, type ReachAnswer } from './reach.ts'
import { closeGroupSchema, reachAnswerSchema, reachQuestionSchema } from './types.ts'
import { assessGroup, staggerOf, type GroupNeed } from './watch.ts'

export type { PrimaryRight } from './types.ts'

/** Service of the plug-in. */
export interface Leadership extends Pick<Rights, 'of' | 'wait'> {
  /** The primary as far as known, whether or not this host may work there. */
  primaryOf: (group: string) => string | undefined
  /** An upstream has been silent for long; it is asked whether it is there. */
  suspect: (upstream: string) => void
}

declare module '../core/kernel/index.ts' {
  interface Services { leadership: Leadership }
}

registerPlugin({
  name: 'leadership',
  needs: ['ports', 'registry', 'directory', 'pools', 'peers', 'desiredState', 'freshness', 'metrics'],
  start: (context) => {
    const { logger } = context
    const { promotion } = context.use('ports')
    const registry = context.use('registry')
    const directory = context.use('directory')
    const pools = context.use('pools')
    const peers = context.use('peers')
    const desiredState = context.use('desiredState')
    const freshness = context.use('freshness')
    const rights = createRights(registry)
    const metrics = context.use('metrics')
    const countSuccession = metrics.count('worksward_successions', 'Successions run here, by reason and outcome')
    metrics.expose('worksward_confirmed_age_milliseconds', 'Age of the confirmation by the store', () =>
      ({ age: Number.isFinite(registry.confirmedAgeMs()) ? registry.confirmedAgeMs() : -1 }))
    const needs = new Map<string, { need: GroupNeed, since: number }>()
    const acting = new Set<string>()
    const suspected = new Set<string>()

    const abortAtPrimary = (name: string, reason: string): void => {
      const primary = directory.get(name)
      const pool = primary === undefined ? undefined : pools.of(primary).pool
      if (pool !== undefined && pool.inUse > 0) {
        logger.log('warn', 'leadership.aborted', { upstream: name, inUse: pool.inUse, reason })
        pool.abortInUse()
      }
    }
    const closeHere = async (group: string, epoch: number): Promise<void> => {
      rights.close(group, epoch)
      const { row } = registry.current.group(group)
      const primary = row === undefined ? undefined : directory.get(row.primary)
      if (row === undefined || primary === undefined || row.epoch > epoch) {
        return
      }
      const until = performance.now() + CLOSING_MS
      while (pools.of(primary).pool.inUse > 0 && performance.now() < until) {
        await pause(10)
      }
      abortAtPrimary(row.primary, 'the epoch was closed')
    }
    peers.handle('close-group', async (body) => {
      const { group, epoch } = closeGroupSchema.parse(body)
      logger.log('info', 'leadership.closing', { group, epoch, confirmedAgeMs: Math.round(registry.confirmedAgeMs()) })
      await closeHere(group, epoch)
      return {}
    })

    const reaches = async (name: string): Promise<boolean> => {
      const upstream = directory.get(name)
      if (upstream === undefined) {
        return false
      }
      const { lastAnswerAt } = pools.of(upstream).health
      const heard = performance.now() - lastAnswerAt < HEARD_MS
      return heard || await pools.probe(upstream, PROBE_MS) !== undefined
    }
    peers.handle('reach', async (body) => ({ reached: await reaches(reachQuestionSchema.parse(body).upstream) }))

    const askReach = async (peer: KnownHost, upstream: string): Promise<ReachAnswer> => {
      try {
        const { reached } = reachAnswerSchema.parse(await peers.ask(peer, 'reach', { upstream }, REACH_MS))
        return reached ? 'reached' : 'lost'
      } catch (thrown) {
        logger.log('debug', 'leadership.peer-silent', { peer: peer.name, reason: describeThrown(thrown) })
        return isRefusal(thrown) ? 'not-running' : 'silent'
      }
    }
    const shouldReplace = async (group: string, upstream: string): Promise<boolean> => {
      const own = reaches(upstream).then((reached): ReachAnswer => reached ? 'reached' : 'lost')
      const questions = [own, ...registry.peers().map(async (peer) => await askReach(peer, upstream))]
      const verdict = await countReach(questions)
      logger.log('info', 'leadership.reach', { group, upstream, ...verdict })
      return isLostToMost(verdict)
    }
    const hasEnded = async ({ holder, process }: DutyRow): Promise<boolean> => {
      const row = registry.current.hosts.find(({ name }) => name === holder)
      if (row === undefined || row.process !== process) {
        return true
      }
      try {
        await peers.ask(row, 'registry-snapshot', {}, CLOSE_TRY_MS)
        return false
      } catch (thrown) {
        return isRefusal(thrown)
      }
    }
    let taking: ReturnType<typeof takeDuty> | undefined
    /** Groups that need the duty at the same moment share one try, or they would contradict each other. */
    const duty = async () => {
      taking ??= takeDuty({ registry, logger, hasEnded }).finally(() => { taking = undefined })
      return await taking
    }

    /** Whether a need that only rests on what was heard holds when looked at. */
    const isConfirmed = async (group: string, need: GroupNeed, { primary }: GroupRow): Promise<boolean> => {
      if (need === 'unreachable') {
        return await shouldReplace(group, primary)
      }
      if (need !== 'deposed') {
        return true
      }
      const upstream = directory.get(primary)
      const report = upstream === undefined ? undefined : await pools.probe(upstream, PROBE_MS)
      return report?.role === 'replica'
    }
    const nameFirstPrimary = async (group: string): Promise<void> => {
      const claiming = directory.ofGroup(group).filter(({ claimsPrimary, draining }) => claimsPrimary && !draining)
      const [first] = claiming
      if (first === undefined || claiming.length !== 1) {
        return
      }
      const key = registryKeys.group(group)
      const row: GroupRow = {
        epoch: 1, primary: first.upstream, state: 'open', term: 0, writtenBy: registry.self.name, succession: ''
      }
      const written = await registry.write({
        expected: [{ key, version: 0 }], put: [{ key, value: JSON.stringify(row) }]
      })
      logger.log('info', 'leadership.first-primary', { group, upstream: first.upstream, written })
      registry.nudgePeers()
    }
    const act = async (group: string, need: GroupNeed): Promise<void> => {
      if (need === 'first-primary') {
        await nameFirstPrimary(group)
        return
      }
      const { row } = registry.current.group(group)
      if (row === undefined || !await isConfirmed(group, need, row)) {
        return
      }
      const primary = await runSuccession({
        group,
        reason: need,
        closedSince: need === 'unfinished' ? needs.get(group)?.since : undefined,
        knownTerm: Math.max(row.term, freshness.of(group).newest?.term ?? 0),
        duty,
        closeHere: async (epoch) => await closeHere(group, epoch),
        registry,
        directory,
        pools,
        peers,
        promotion,
        logger
      })
      countSuccession(`${need} ${primary === undefined ? 'unfinished' : 'done'}`)
    }
    const consider = (group: string): void => {
      const need = assessGroup(group, { registry, directory, pools })
      const known = needs.get(group)
      if (need === undefined) {
        needs.delete(group)
        return
      }
      if (known?.need !== need) {
        needs.set(group, { need, since: performance.now() })
        return
      }
      if (acting.has(group) || performance.now() - known.since < staggerOf(group, need, registry)) {
        return
      }
      acting.add(group)
      act(group, need)
        .catch((thrown: unknown) => logger.log('warn', 'succession.failed', { group, reason: describeThrown(thrown) }))
        .then(async () => await pause(RETRY_MS))
        .finally(() => acting.delete(group))
    }
    const groups = (): string[] => [...desiredState.current?.connectionCaps.keys() ?? []]

    let lapsed = false
    const noteLapse = (): void => {
      const ageMs = rights.ageMs()
      const isLapsed = ageMs > RIGHT_MS
      if (isLapsed !== lapsed && Number.isFinite(ageMs)) {
        lapsed = isLapsed
        logger.log(isLapsed ? 'warn' : 'info', isLapsed ? 'leadership.right-lapsed' : 'leadership.right-back', {
          ageMs: Math.round(ageMs), confirmedAgeMs: Math.round(registry.confirmedAgeMs())
        })
      }
      if (ageMs > RIGHT_MS + LAPSE_SLACK_MS) {
        groups().forEach((group) => {
          const { row } = registry.current.group(group)
          if (row !== undefined) {
            abortAtPrimary(row.primary, 'the right has lapsed')
          }
        })
      }
    }
    const stop = repeat(WATCH_MS, async () => {
      noteLapse()
      groups().forEach(consider)
    }, (thrown) => logger.log('error', 'leadership.watch-failed', { reason: describeThrown(thrown) }))
    registry.onChange(rights.notify)
    const stopExtending = createExtensions({ registry, peers, rights, logger })

    return {
      service: {
        of: rights.of,
        wait: rights.wait,
        primaryOf: (group) => registry.current.group(group).row?.primary,
        suspect: (name) => {
          const upstream = directory.get(name)
          if (upstream === undefined || suspected.has(name)) {
            return
          }
          suspected.add(name)
          void Promise.all([pools.probe(upstream, PROBE_MS), pause(SUSPECT_MS)]).finally(() => suspected.delete(name))
        }
      },
      dump: () => ({
        groups: Object.fromEntries(groups().map((group) => [group, registry.current.group(group).row])),
        needs: Object.fromEntries(needs),
        confirmedAgeMs: Math.round(registry.confirmedAgeMs())
      }),
      close: () => {
        stop()
        stopExtending()
      }
    }
  }
})
