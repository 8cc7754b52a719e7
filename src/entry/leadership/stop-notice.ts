/**
 * Tells promoters through the store that this host has stopped working at a closed primary, when no peer asks it: one
 * that is cut off from its peers may still hear the store, and a promoter need not wait for its right to lapse.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Registry } from '../registry/index.ts'
import { ANSWER_LOST_MS, ASKED_TO_STOP_MS } from './consts.ts'
import type { LocalWorkStop } from './stop-local-work.ts'
import type { ClosedEpoch } from './types.ts'

/** Options of {@link createStopNotice}. */
interface StopNoticeOptions {
  registry: Pick<Registry, 'self' | 'current' | 'onChange' | 'tellStopped'>
  closing: Pick<LocalWorkStop, 'close'>
  logger: Logger
}

/** Tells that this host has stopped. */
interface StopNotice {
  /** Takes note that a peer knows, or that this host is the one that closes. */
  known: (group: string, epoch: number) => void
}

/**
 * Creates the notice.
 *
 * @param options - the registry, and what ends the work here
 * @returns takes note of what need not be told
 */
export function createStopNotice ({ registry, closing, logger }: StopNoticeOptions): StopNotice {
  /** Newest epoch of each group that a peer knows to be closed here. */
  const knownEpochs = new Map<string, number>()
  /** Newest epoch of each group that this host's row tells. */
  const toldEpochs = new Map<string, number>()
  /** Closed epochs that are looked at. */
  const waiting = new Set<string>()

  const covers = (epochs: Map<string, number>, { group, epoch }: ClosedEpoch): boolean =>
    (epochs.get(group) ?? 0) >= epoch
  const raise = (epochs: Map<string, number>, { group, epoch }: ClosedEpoch): void => {
    epochs.set(group, Math.max(epoch, epochs.get(group) ?? 0))
  }
  /** Whether a promoter on another host may still wait for this one. */
  const isAwaited = ({ group, epoch }: ClosedEpoch): boolean => {
    const { row } = registry.current.group(group)
    return row?.state === 'closed' && row.epoch === epoch && row.writtenBy !== registry.self.name
  }

  const tellUnlessKnown = async (closed: ClosedEpoch): Promise<void> => {
    await pause(ASKED_TO_STOP_MS)
    if (covers(knownEpochs, closed)) {
      // What this host said may have been lost on its way.
      await pause(ANSWER_LOST_MS)
    }
    if (!isAwaited(closed)) {
      return
    }
    const { group, epoch } = closed
    try {
      await closing.close(group, epoch)
      await registry.tellStopped(group, epoch)
      raise(toldEpochs, closed)
    } catch (thrown) {
      // Whether or not the row was written, it is told again with the next snapshot.
      logger.log('warn', 'leadership.stop-not-told', { group, epoch, reason: describeThrown(thrown) })
    }
  }
  registry.onChange(() => {
    for (const closed of registry.current.closedGroups) {
      const name = `${closed.group} ${closed.epoch}`
      if (!covers(toldEpochs, closed) && !waiting.has(name)) {
        waiting.add(name)
        void tellUnlessKnown(closed).finally(() => waiting.delete(name))
      }
    }
  })
  return { known: (group, epoch) => raise(knownEpochs, { group, epoch }) }
}
