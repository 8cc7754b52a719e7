/**
 * A naive proxy as a baseline: fixed primary, round-robin replicas, retry on any error. Each flaw can be toggled, so
 * that tests can show its effect in isolation.
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
  /** Whether any failed statement is retried. */
  retryOnError?: boolean
  /** Whether all callers share one primary connection, including its transactions. */
  shareConnection?: boolean
  /** Whether a failed statement is reported as not run. */
  claimNotRun?: boolean
  /** Whether the last row of each read is dropped, as by a truncated read. */
  truncateAnswers?: boolean
}

const STATEMENT_TIMEOUT_MS = 1500
const RETRIES = 3

/**
 * Starts the naive proxy.
 *
 * @param options - upstreams, login and flaws to enable
 * @returns the listening server
 */
export async function startNaiveProxy (options: NaiveOptions): Promise<SocketListener> {
  const { retryOnError = true, shareConnection = false, claimNotRun = false } = options
  const dialer = createDialer()
  const open = async (access: UpstreamAccess): Promise<Client> =>
    await openClient({ access, dialer, connectTimeoutMs: 500 })
  let nextReplica = 0
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
        const client = await open(options.replicas[nextReplica++ % options.replicas.length]!)
        try {
          return dropLastRow(await client.run(statement, STATEMENT_TIMEOUT_MS, 'not-run'), options.truncateAnswers === true)
        } finally {
          client.close()
        }
      }
      return {
        execute: async (statement) => {
          if (statement.sql.includes('@@worksward_session')) {
            return { type: 'rows', columns: [textColumn('@@worksward_session')], rows: [[Buffer.from('naive')]] }
          }
          const answer = await retry(async () => await run(statement), retryOnError ? RETRIES : 0)
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

async function retry (run: () => Promise<Answer>, retries: number): Promise<Answer> {
  try {
    return await run()
  } catch (thrown) {
    if (retries === 0) {
      throw thrown
    }
    return await retry(run, retries - 1)
  }
}

function dropLastRow (answer: Answer, truncate: boolean): Answer {
  return truncate && answer.type === 'rows' ? { ...answer, rows: answer.rows.slice(0, -1) } : answer
}
