/**
 * Whom this host asks for a table of the store, and which answer is good enough.
 *
 * - Inputs: the hosts that follow the tables, in the order in which this host asks them; which of them failed lately;
 *   the version that an answer must be as of.
 * - Rule: those that failed lately come last. The first answer that is as of the version counts. {@link
 *   FOLLOWERS_WAITED_FOR} may leave the question unanswered; those that refuse at once are skipped.
 * - Why: what another host has reported is known somewhere; a host that the store rejects must find one that has it.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Peers } from '../../peers/index.ts'
import { createRecentFailures } from './recent-failures.ts'
import type { KnownHost } from './snapshot.ts'
import { ANSWER_MS, TABLE_HOLD_MS } from './table-answers.ts'
import type { TableChanges } from './table-copy.ts'
import { tableAnswerSchema, type TableAnswer, type TableQuestion } from './table-messages.ts'

/**
 * Time that a host which has just started waits for the whole table before it reads the store, in milliseconds: some
 * round trips. When all hosts start at once, those that it asks know nothing yet either.
 */
const FIRST_ANSWER_MS = 40
/** Followers that may leave a question unanswered in one turn. */
const FOLLOWERS_WAITED_FOR = 2

/** Options of {@link createTableQuestions}. */
interface TableQuestionsOptions {
  peers: Pick<Peers, 'request' | 'requestOrDisconnect'>
  logger: Logger
  /** The other hosts that follow the tables, the one to ask first in front. */
  followers: () => KnownHost[]
}

/** Asks other hosts. */
export interface TableQuestions {
  /**
   * Asks those who follow a table what has changed.
   *
   * @param table - the table
   * @param after - version that is known here; undefined for the whole table
   * @param atLeast - version that the answer must be as of
   * @returns what has changed; undefined when no host could answer
   */
  ask: (table: string, after: number | undefined, atLeast: number) => Promise<TableChanges | undefined>
  /**
   * Asks one of those who follow a table to read it anew from the store.
   *
   * @param table - the table
   * @param atLeast - version that the answer must be as of
   * @returns the whole table; undefined when no host could answer
   */
  askAnew: (table: string, atLeast: number) => Promise<TableChanges | undefined>
}

/**
 * Creates the questions.
 *
 * @param options - the links and the hosts
 * @returns the questions
 */
export function createTableQuestions ({ peers, logger, followers }: TableQuestionsOptions): TableQuestions {
  const recentFailures = createRecentFailures()

  /** A question that is given up early must not break the link, which others use. */
  const send = async (host: KnownHost, question: TableQuestion, timeoutMs: number): Promise<unknown> =>
    question.after === undefined
      ? await peers.request(host, 'table-changes', question, timeoutMs)
      : await peers.requestOrDisconnect(host, 'table-changes', question, timeoutMs)
  const askOne = async (
    host: KnownHost, question: TableQuestion, timeoutMs: number
  ): Promise<TableAnswer | undefined> => {
    try {
      return tableAnswerSchema.parse(await send(host, question, timeoutMs))
    } catch (thrown) {
      logger.log('debug', 'registry.peer-silent', { peer: host.name, reason: describeThrown(thrown) })
      return undefined
    }
  }
  const isEnough = (peer: string, table: string, { version }: TableChanges, atLeast: number): boolean => {
    if (version >= atLeast) {
      return true
    }
    logger.log('info', 'feed.peer-behind', { table, peer, version, told: atLeast })
    return false
  }
  const askInTurn = async (
    question: TableQuestion, timeoutMs: number, atLeast: number
  ): Promise<TableChanges | undefined> => {
    const isFirst = question.after === undefined && question.anew !== true
    let waitsLeft = isFirst ? 1 : FOLLOWERS_WAITED_FOR
    for (const host of recentFailures.order(followers())) {
      const answer = await askOne(host, question, timeoutMs)
      if (answer?.changes !== undefined && isEnough(host.name, question.table, answer.changes, atLeast)) {
        return answer.changes
      }
      recentFailures.record(host)
      waitsLeft -= answer === undefined ? 1 : 0
      if (waitsLeft === 0) {
        return undefined
      }
    }
    return undefined
  }
  return {
    ask: async (table, after, atLeast) =>
      await askInTurn({ table, after }, after === undefined ? FIRST_ANSWER_MS : TABLE_HOLD_MS + ANSWER_MS, atLeast),
    askAnew: async (table, atLeast) => await askInTurn({ table, anew: true }, ANSWER_MS, atLeast)
  }
}
