/**
 * The naive version that worksward is compared with: a static primary, replicas in turn, any error tried again. Each
 * habit can be switched off, so that the harm of each can be shown alone.
 */
import { openClient, type Client, type UpstreamAccess } from '../../src/mysql/client.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { doubleSha1 } from '../../src/mysql/password.ts'
import type { SocketListener } from '../../src/core/wire/listener.ts'
import { listenMysql } from '../../src/mysql/server.ts'
import { textColumn } from '../../src/mysql/answer-writer.ts'
import type { Answer, Statement } from '../../src/mysql/types.ts'
import { describeThrown } from '../../src/core/errors/index.ts'

/** Options of {@link startNaiveProxy}. */
export interface NaiveOptions {
  primary: UpstreamAccess
  replicas: UpstreamAccess[]
  user: string
  password: string
  /** Whether any failed statement is sent again. */
  retryOnError?: boolean
  /** Whether all callers share one connection, transactions and all. */
  shareConnection?: boolean
  /** Whether a failed statement is reported as not run. */
  claimNotRun?: boolean
  /** Whether an answer may lose its last row, as a truncated read would. */
  truncateAnswers?: boolean
}

const STATEMENT_TIMEOUT_MS = 1500
const RETRIES = 3

/**
 * Starts the naive proxy.
 *
 * @param options - upstreams and habits
 * @returns the listening server
 */
export async function startNaiveProxy (options: NaiveOptions): Promise<SocketListener> {
  const { retryOnError = true, shareConnection = false, claimNotRun = false } = options
  const dialer = createDialer()
  const open = async (access: UpstreamAccess): Promise<Client> =>
    await openClient({ access, dialer, connectTimeoutMs: 500 })
  let turn = 0
  let shared: Promise<Client> | undefined

  return await listenMysql({
    address: '127.0.0.1',
    port: 0,
    statementBytes: 1_000_000,
    findPasswordHash: (user) => user === options.user ? doubleSha1(options.password) : undefined,
    toRefusal: (thrown) => ({
      code: 1105, message: `${describeThrown(thrown)} [verdict: ${claimNotRun ? 'not-run' : 'may-have-run'}]`
    }),
    serve: () => {
      let own: Promise<Client> | undefined
      let inTransaction = false

      const primary = async (): Promise<Client> => {
        if (shareConnection) {
          shared = await isUsable(shared) ? shared : open(options.primary)
          return await shared!
        }
        own = await isUsable(own) ? own : open(options.primary)
        return await own!
      }
      const run = async (statement: Statement): Promise<Answer> => {
        const isRead = /worksward_kind='(grid|strict)'/.test(statement.sql) && !inTransaction
        if (!isRead) {
          return await (await primary()).run(statement, STATEMENT_TIMEOUT_MS, 'may-have-run')
        }
        const client = await open(options.replicas[turn++ % options.replicas.length]!)
        try {
          return shorten(await client.run(statement, STATEMENT_TIMEOUT_MS, 'not-run'), options.truncateAnswers === true)
        } finally {
          client.close()
        }
      }
      return {
        execute: async (statement) => {
          if (statement.sql.includes('@@worksward_session')) {
            return { type: 'rows', columns: [textColumn('@@worksward_session')], rows: [[Buffer.from('naive')]] }
          }
          const answer = await tryAgain(async () => await run(statement), retryOnError ? RETRIES : 0)
          const ends = /^\s*(COMMIT|ROLLBACK)/i.test(statement.sql)
          inTransaction = /^\s*BEGIN/i.test(statement.sql) || (inTransaction && !ends)
          return answer
        },
        selectDatabase: async () => {},
        reset: async () => {},
        close: () => { own?.then((client) => client.close(), () => {}) }
      }
    }
  })
}

async function isUsable (client: Promise<Client> | undefined): Promise<boolean> {
  return (await client?.catch(() => undefined))?.usable === true
}

async function tryAgain (run: () => Promise<Answer>, retries: number): Promise<Answer> {
  try {
    return await run()
  } catch (thrown) {
    if (retries === 0) {
      throw thrown
    }
    return await tryAgain(run, retries - 1)
  }
}

function shorten (answer: Answer, truncate: boolean): Answer {
  return truncate && answer.type === 'rows' ? { ...answer, rows: answer.rows.slice(0, -1) } : answer
}
