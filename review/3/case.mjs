/**
 * All processes are killed right after a desired state with many routes was acknowledged, on machines with narrow links.
 * When they are back, they must read it and serve again.
 */
import { openSession } from '../lib/client.mjs'
import { DATABASE, FIRST_VERSION, startDeployment } from '../lib/deployment.mjs'
import { CLIENT_PORT } from '../lib/entry.mjs'
import { pause } from '../lib/network.mjs'
import { createRecord } from '../lib/record.mjs'

const [BROKEN, HELD, NOT_RUN] = [1, 0, 2]
const ROUTES = 1968
const LINK_MEGABITS = 2
const QUIET_MS = 5000
const KILL_AFTER_MS = 100
const READY_TIMEOUT_MS = 3000
const RECOVERY_MS = 15_000
const WATCHED_MS = 40_000
const READ_PAUSE_MS = 100
/** The rule: a quarter of the requests before the fault, and of those after the recovery. */
const LEAST_SHARE = 0.25
const MINIMUM_REQUESTS = 30

const hasTrouble = process.env.TROUBLE !== '0'
const record = createRecord(import.meta.dirname)
const over = new AbortController()
/** Requests by the time at which they were sent, and whether they were served. */
const requests = []

/** Sends reads, one at a time. */
async function runClient (entry, name) {
  let session
  for (let number = 1; !over.signal.aborted; number++) {
    const sentAt = performance.now()
    session = session?.isOpen
      ? session
      : await openSession({ address: entry.address, port: CLIENT_PORT, database: DATABASE })
    const id = `${name}${String(number).padStart(8, '0')}`
    record.write(`${entry.name} <- QUERY ${id} READ 2b5`)
    const { code, signature } = await session?.query(id, 'READ 2b5') ?? { code: 'no session' }
    record.write(`${entry.name} -> ${id} ${code ?? `DONE ${signature}`}`)
    requests.push({ sentAt, isServed: code === undefined })
    await pause(READ_PAUSE_MS)
  }
  session?.close()
}

/** Counts the requests that were sent in a span. */
function countSent (from, to) {
  const sent = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to)
  const served = sent.filter(({ isServed }) => isServed).length
  return { asked: sent.length, served, share: served / Math.max(1, sent.length) }
}

const deployment = await startDeployment({
  record,
  linkMegabits: LINK_MEGABITS,
  onRun: ({ backend, id, verb, thing = '' }) => record.write(`${backend} runs ${id} ${verb} ${thing}`),
  onEnd: ({ name, code, signal }) => record.tell(`${name} ended: ${code} ${signal}`)
})
let outcome = NOT_RUN
if (deployment.isReady) {
  const startedAt = performance.now()
  const clients = deployment.entries.map(async (entry, index) => await runClient(entry, 'abc'[index]))
  await pause(QUIET_MS)
  record.tell(`a desired state with ${ROUTES} more routes is acknowledged`)
  deployment.configure(FIRST_VERSION + 1, ROUTES)
  await pause(KILL_AFTER_MS)
  const faultAt = performance.now()
  if (hasTrouble) {
    record.tell('all processes are killed')
    deployment.entries.forEach((entry) => entry.kill())
  }
  await pause(READY_TIMEOUT_MS)
  const recoveredAt = performance.now() + RECOVERY_MS
  await pause(RECOVERY_MS + WATCHED_MS)
  const ready = await Promise.all(deployment.entries.map(async (entry) => await entry.isReady()))
  over.abort()
  await Promise.all(clients)
  const before = countSent(startedAt, faultAt)
  const after = countSent(recoveredAt, Infinity)
  record.tell(`before: ${before.served} of ${before.asked} served; later than ${RECOVERY_MS} ms after the processes were ` +
    `back: ${after.served} of ${after.asked} served; ready: ${ready.join(' ')}`)
  outcome = before.share < LEAST_SHARE || after.asked < MINIMUM_REQUESTS
    ? NOT_RUN
    : after.share < LEAST_SHARE ? BROKEN : HELD
}
deployment.close()
record.tell(['held', 'broken: less than a quarter is served after the recovery', 'the case could not run'][outcome])
record.close()
process.exit(outcome)
