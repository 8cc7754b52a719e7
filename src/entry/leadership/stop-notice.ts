/**
 * Publishes in this host's row that it has stopped working at a closed primary, when no peer asks it to: a host that is
 * cut off from its peers may still read the store, and a promoter need not wait for its lease to expire.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Registry } from '../registry/index.ts'
import type { LocalWorkStop } from './stop-local-work.ts'
import type { ClosedEpoch } from './types.ts'

/**
 * Time that a peer has to ask this host to stop working at a primary whose epoch is closed, in milliseconds; then its
 * row is written.
 */
const ASKED_TO_STOP_MS = 300
/**
 * Time after which the row is written for an epoch that is still closed although a peer has asked, in milliseconds:
 * twice a promotion.
 */
const ANSWER_LOST_MS = 2000

/** Options of {@link createStopNotice}. */
interface StopNoticeOptions {
  registry: Pick<Registry, 'self' | 'current' | 'onChange' | 'publishStopped'>
  localWork: Pick<LocalWorkStop, 'close'>
  logger: Logger
}

/** Publishes that this host has stopped. */
interface StopNotice {
  /** Records that a peer has asked, or that this host closes the epoch itself. */
  recordKnown: (group: string, epoch: number) => void
}

/**
 * Creates the notice.
 *
 * @param options - the registry, and what ends the work here
 * @returns records what need not be published
 */
export function createStopNotice ({ registry, localWork, logger }: StopNoticeOptions): StopNotice {
  /** Newest epoch of each group that a peer knows to be closed here. */
  const knownEpochs = new Map<string, number>()
  /** Newest epoch of each group that this host's row shows as stopped. */
  const publishedEpochs = new Map<string, number>()
  /** Closed epochs that are being handled. */
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

  const publishUnlessKnown = async (closed: ClosedEpoch): Promise<void> => {
    await pause(ASKED_TO_STOP_MS)
    if (covers(knownEpochs, closed)) {
      // This host's answer may have been lost.
      await pause(ANSWER_LOST_MS)
    }
    if (!isAwaited(closed)) {
      return
    }
    const { group, epoch } = closed
    try {
      await localWork.close(group, epoch)
      await registry.publishStopped(group, epoch)
      raise(publishedEpochs, closed)
    } catch (thrown) {
      // Whether or not the row was written, it is written again after the next snapshot.
      logger.log('warn', 'leadership.stop-notice-failed', { group, epoch, reason: describeThrown(thrown) })
    }
  }
  registry.onChange(() => {
    for (const closed of registry.current.closedGroups) {
      const name = `${closed.group} ${closed.epoch}`
      if (!covers(publishedEpochs, closed) && !waiting.has(name)) {
        waiting.add(name)
        void publishUnlessKnown(closed).finally(() => waiting.delete(name))
      }
    }
  })
  return { recordKnown: (group, epoch) => raise(knownEpochs, { group, epoch }) }
}
