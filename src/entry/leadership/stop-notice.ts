/**
 * Publishes in this host's row that it has stopped using the primary of a closed epoch, if no peer has asked it to
 * stop. A promoter that cannot reach this host then need not wait for its lease to expire.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { pause } from '../../core/time/deadline.ts'
import type { Registry } from '../registry/index.ts'
import type { LocalWorkStop } from './stop-local-work.ts'
import type { ClosedEpoch } from './types.ts'

/** Time to wait for a peer's request to stop before the row is written, in milliseconds. */
const STOP_REQUEST_WAIT_MS = 300
/**
 * Additional time after which the row is written although a peer has asked, in milliseconds, since the answer may have
 * been lost. It is longer than a usual promotion takes.
 */
const LOST_ANSWER_WAIT_MS = 2000

/** Options of {@link createStopNotice}. */
interface StopNoticeOptions {
  registry: Pick<Registry, 'self' | 'current' | 'onChange' | 'publishStopped'>
  localWork: Pick<LocalWorkStop, 'closeEpoch'>
  logger: Logger
}

interface StopNotice {
  /** Records that a peer has asked this host to stop, or that this host closes the epoch itself. */
  recordNotified: (group: string, epoch: number) => void
}

/**
 * Creates the notice, which follows the changes of the registry.
 *
 * @param options - the registry and the stop of local work
 * @returns the notice
 */
export function createStopNotice ({ registry, localWork, logger }: StopNoticeOptions): StopNotice {
  /** Newest epoch of each group whose promoter knows that it is closed on this host. */
  const notifiedEpochs = new Map<string, number>()
  /** Newest epoch of each group that this host's row shows as stopped. */
  const publishedEpochs = new Map<string, number>()
  /** Closed epochs that are being processed. */
  const pending = new Set<string>()

  const covers = (epochs: Map<string, number>, { group, epoch }: ClosedEpoch): boolean =>
    (epochs.get(group) ?? 0) >= epoch
  const advance = (epochs: Map<string, number>, { group, epoch }: ClosedEpoch): void => {
    epochs.set(group, Math.max(epoch, epochs.get(group) ?? 0))
  }
  /** Whether a promoter on another host may still be waiting for this host. */
  const isAwaited = ({ group, epoch }: ClosedEpoch): boolean => {
    const { row } = registry.current.group(group)
    return row?.state === 'closed' && row.epoch === epoch && row.writtenBy !== registry.self.name
  }

  const publishUnlessNotified = async (closed: ClosedEpoch): Promise<void> => {
    await pause(STOP_REQUEST_WAIT_MS)
    if (covers(notifiedEpochs, closed)) {
      // The answer to the peer may have been lost.
      await pause(LOST_ANSWER_WAIT_MS)
    }
    if (!isAwaited(closed)) {
      return
    }
    const { group, epoch } = closed
    try {
      await localWork.closeEpoch(group, epoch)
      await registry.publishStopped(group, epoch)
      advance(publishedEpochs, closed)
    } catch (thrown) {
      // The row is written again after the next snapshot, even if this write took effect.
      logger.log('warn', 'leadership.stop-notice-failed', { group, epoch, reason: describeThrown(thrown) })
    }
  }
  registry.onChange(() => {
    for (const closed of registry.current.closedGroups) {
      const key = `${closed.group} ${closed.epoch}`
      if (!covers(publishedEpochs, closed) && !pending.has(key)) {
        pending.add(key)
        void publishUnlessNotified(closed).finally(() => pending.delete(key))
      }
    }
  })
  return { recordNotified: (group, epoch) => advance(notifiedEpochs, { group, epoch }) }
}
