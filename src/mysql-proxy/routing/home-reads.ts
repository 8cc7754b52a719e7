/**
 * Reads at the home of a group: runs them, retries those whose connection was lost, and explains which upstream a read
 * would use.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Group } from '../../core/config/index.ts'
import { Deadline, pause } from '../../core/time/deadline.ts'
import { textColumn } from '../../mysql/answer-writer.ts'
import { chooseUpstream, serveRead, type ReadOptions } from './read-route.ts'
import { findKind } from './request-checks.ts'
import { resolveFloor } from './session-floor.ts'
import type { ExecuteRequest, ExplainRequest, HomeReply } from './types.ts'
import { isConnectionLost } from './what-is-repeated.ts'

/** Delay before a read is retried, in milliseconds. */
const RETRY_DELAY_MS = 5

/** Options of {@link createHomeReads}. */
interface HomeReadsOptions extends Pick<ReadOptions, 'view' | 'pools' | 'failureDomain'> {
  name: string
  /** Returns the current declaration of the group. */
  group: () => Group
  /** Seed for the random choice between replicas. */
  seed: number
  /** Takes a retry from the budget; returns false when the budget is exhausted. */
  spendRetry: () => boolean
  /** Called after each successful read. */
  onServed: (fromReplica: boolean) => void
}

/** Runs and explains the reads of a group. */
export interface HomeReads {
  execute: (request: ExecuteRequest) => Promise<HomeReply>
  /** Returns a row with the upstream that a statement would run on, and the reason. */
  explain: (request: ExplainRequest) => Promise<HomeReply>
}

/**
 * Creates the read handlers of a home.
 *
 * @param options - the group, its view and its connection pools
 * @returns the read handlers
 */
export function createHomeReads (options: HomeReadsOptions): HomeReads {
  const { name, view, pools, failureDomain, spendRetry, onServed } = options
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformInt(generator, 0, 0xffff) / 0x10000

  const readOptions = (
    request: Omit<ExplainRequest, 'type'> & Partial<Pick<ExecuteRequest, 'statement' | 'readIndex'>>
  ): ReadOptions => ({
    view,
    pools,
    group: options.group(),
    kind: findKind(options.group(), request),
    statement: request.statement ?? { sql: '' },
    floor: request.floor,
    readIndex: request.readIndex === true,
    deadline: new Deadline(request.deadlineMs),
    failureDomain,
    random
  })
  const choose = async (request: ExplainRequest) => {
    const read = readOptions(request)
    return await chooseUpstream({ ...read, floor: await resolveFloor(view, read.floor, read.deadline) })
  }
  return {
    execute: async (request) => {
      const read = readOptions(request)
      for (;;) {
        try {
          const reply = await serveRead(read)
          onServed(reply.fromReplica === true)
          return reply
        } catch (thrown) {
          if (!isConnectionLost(thrown) || read.deadline.passed || !spendRetry()) {
            throw thrown
          }
          await pause(RETRY_DELAY_MS)
        }
      }
    },
    explain: async (request) => {
      const choice = findKind(options.group(), request).access === 'read'
        ? await choose(request)
        : { upstream: view.leadership.primary, fromReplica: false, reason: 'a write goes to the primary' }
      const row = [name, choice.upstream, choice.fromReplica ? 'replica' : 'primary', choice.reason]
      return {
        answer: {
          type: 'rows',
          columns: ['group', 'upstream', 'role', 'reason'].map(textColumn),
          rows: [row.map((cell) => Buffer.from(cell))]
        }
      }
    }
  }
}
