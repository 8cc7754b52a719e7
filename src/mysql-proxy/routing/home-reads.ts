/**
 * Reads at the home of a group: runs them, repeats those whose connection broke, and explains where one would run. Owns
 * the random numbers for the choice between replicas.
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

/** Pause before a read is repeated, in milliseconds. */
const RETRY_PAUSE_MS = 5

/** Options of {@link createHomeReads}. */
interface HomeReadsOptions extends Pick<ReadOptions, 'view' | 'pools' | 'failureDomain'> {
  name: string
  /** The declarations in force. */
  group: () => Group
  /** Seed of the choice between replicas. */
  seed: number
  /** Takes a retry from the budget; false when there is none. */
  spendRetry: () => boolean
  /** Called after each read that was served. */
  onServed: (fromReplica: boolean) => void
}

/** Reads of a group. */
export interface HomeReads {
  execute: (request: ExecuteRequest) => Promise<HomeReply>
  /** Returns where a statement would run, and why. */
  explain: (request: ExplainRequest) => Promise<HomeReply>
}

/**
 * Creates the reads of a home.
 *
 * @param options - the group and how to reach it
 * @returns the reads
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
          await pause(RETRY_PAUSE_MS)
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
