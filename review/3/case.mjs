/**
 * Clients read a thing whose answer has many rows, each a message within the limit of 1 MiB. The entry processes must
 * pass it on, or refuse it, and go on. One that ends is started again; clients retry a read twice, as the pages say.
 */
import { openSession } from '../lib/client.mjs'
import { DATABASE, startDeployment } from '../lib/deployment.mjs'
import { CLIENT_PORT } from '../lib/entry.mjs'
import { pause } from '../lib/network.mjs'
import { createRecord } from '../lib/record.mjs'

const [BROKEN, HELD, NOT_RUN] = [1, 0, 2]
/** The rule: on a tenth of the machines in use, at least two, processes end on their own three times. */
const [MACHINES, ENDS] = [2, 3]
const ROUNDS = 3
const RETRIES = 2
const ROW_BYTES = 16_000
const LARGE_ROWS = 6000
const READY_TIMEOUT_MS = 12_000
const RETRY_PAUSE_MS = 300
const ROUND_PAUSE_MS = 1500
const READ_PAUSE_MS = 20
const TIMEOUT_MS = 2000

const rowCount = process.env.TROUBLE === '0' ? 1 : LARGE_ROWS
const record = createRecord(import.meta.dirname)
const ends = new Map()
const cut = []
const over = new AbortController()

/** Sends reads, one at a time, and counts those whose connection ends without an answer. */
async function runBystander (entry, name) {
  let session
  for (let number = 1; !over.signal.aborted; number++) {
    session = session?.isOpen
      ? session
      : await openSession({ address: entry.address, port: CLIENT_PORT, database: DATABASE })
    if (session !== undefined) {
      const id = `${name}${String(number).padStart(8, '0')}`
      record.write(`${entry.name} <- QUERY ${id} READ 2b5`)
      const { code, signature } = await session.query(id, 'READ 2b5')
      record.write(`${entry.name} -> ${id} ${code ?? `DONE ${signature}`}`)
      if (code === 'CUT') {
        cut.push(id)
      }
    }
    await pause(READ_PAUSE_MS)
  }
  session?.close()
}

/** Reads the thing once; returns whether the answer was a success. */
async function readLarge (entry, id) {
  const session = await openSession({ address: entry.address, port: CLIENT_PORT, database: DATABASE })
  if (session === undefined) {
    return false
  }
  record.tell(`${entry.name} <- QUERY ${id} READ large`)
  const { code, text, signature, rows } = await session.query(id, 'READ large')
  record.tell(`${entry.name} -> ${id} ${rows.length} rows, ${text ?? code ?? `DONE ${signature}`}`)
  session.close()
  return code === undefined
}

/** One operation of a client: a read, and its retries. */
async function runOperation (entry, name) {
  for (let attempt = 0; attempt <= RETRIES; attempt++) {
    if (!await entry.waitUntilReady(READY_TIMEOUT_MS)) {
      return false
    }
    if (await readLarge(entry, `f0000000${name}${attempt}`)) {
      return true
    }
    await pause(RETRY_PAUSE_MS)
  }
  return true
}

const deployment = await startDeployment({
  record,
  type: 'bounded_staleness',
  timeoutMs: TIMEOUT_MS,
  rowsOf: (thing) => thing === 'large'
    ? Array.from({ length: rowCount }, () => `ROW ${'x'.repeat(ROW_BYTES)}`)
    : undefined,
  onRun: ({ backend, id, verb, thing = '' }) => record.write(`${backend} runs ${id} ${verb} ${thing}`),
  onEnd: ({ name, code, signal, log }) => {
    ends.set(name, (ends.get(name) ?? 0) + 1)
    record.tell(`${name} ended on its own, code ${code}, signal ${signal}: ` +
      `${log.find((line) => /crashed|heap limit/.test(line)) ?? log.at(-1)}`)
  }
})
let outcome = NOT_RUN
if (deployment.isReady) {
  const bystanders = deployment.entries.map(async (entry, index) => await runBystander(entry, 'abc'[index]))
  const readers = deployment.entries.slice(0, MACHINES)
  let hasRun = true
  for (let round = 1; round <= ROUNDS && hasRun; round++) {
    hasRun = (await Promise.all(readers.map(async (entry, index) =>
      await runOperation(entry, `${'de'[index]}${round}`)))).every(Boolean)
    await pause(ROUND_PAUSE_MS)
  }
  over.abort()
  await Promise.all(bystanders)
  const worn = [...ends.values()].filter((count) => count >= ENDS).length
  record.tell(`ends by themselves: ${JSON.stringify(Object.fromEntries(ends))}; reads of others that were cut: ${cut.length}`)
  outcome = worn >= MACHINES ? BROKEN : hasRun ? HELD : NOT_RUN
}
deployment.close()
record.tell(['held', 'broken: processes end on their own', 'the case could not run'][outcome])
record.close()
process.exit(outcome)
