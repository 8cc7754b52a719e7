/**
 * A primary crashes while one replica receives nothing and the other one drains. With `sync-replicas` 1 all commits that
 * were acknowledged meanwhile are in the log of the draining replica, which must be promoted.
 */
import { openSession } from '../lib/client.mjs'
import { DATABASE, startDeployment } from '../lib/deployment.mjs'
import { CLIENT_PORT } from '../lib/entry.mjs'
import { pause } from '../lib/network.mjs'
import { createRecord } from '../lib/record.mjs'

const [BROKEN, HELD, NOT_RUN] = [1, 0, 2]
const QUIET_MS = 3000
const DEAF_MS = 6000
const CRASH_AFTER_MS = 2000
const CRASHED_MS = 6000
const AFTER_MS = 9000
const WRITE_PAUSE_MS = 100
const MINIMUM_ACKNOWLEDGED = 10

const hasTrouble = process.env.TROUBLE !== '0'
const record = createRecord(import.meta.dirname)
/** Ids of writes that a client was told to be done, by the time of the answer. */
const acknowledged = []
const lost = []
const over = new AbortController()

/** Sends writes, one at a time; each is sent once. */
async function runClient (entry, name) {
  let session
  for (let number = 1; !over.signal.aborted; number++) {
    session = session?.isOpen ? session : await openSession({ address: entry.address, port: CLIENT_PORT, database: DATABASE })
    if (session !== undefined) {
      const id = `${name}${String(number).padStart(8, '0')}`
      const text = `WRITE ${name}${number} data${number}`
      record.write(`${entry.name} <- QUERY ${id} ${text}`)
      const { code, signature } = await session.query(id, text)
      record.write(`${entry.name} -> ${id} ${code ?? `DONE ${signature}`}`)
      if (code === undefined) {
        acknowledged.push(id)
      }
    }
    await pause(WRITE_PAUSE_MS)
  }
  session?.close()
}

/** Compares the log of a backend that was promoted with what had been acknowledged before. */
function checkPromoted (backend) {
  const kept = new Set(backend.log.flat().map(({ id }) => id))
  const missing = acknowledged.filter((id) => !kept.has(id))
  lost.push(...missing)
  record.tell(`${backend.id} (${backend.state}) leads term ${backend.term} with ${backend.log.length} commits; ` +
    `${acknowledged.length} were acknowledged, ${missing.length} of them are missing: ${missing.join(' ')}`)
}

const deployment = await startDeployment({
  record,
  syncReplicas: 1,
  onRun: ({ backend, id, verb, thing = '' }) => record.write(`${backend} runs ${id} ${verb} ${thing}`),
  onPromoted: checkPromoted,
  onEnd: ({ name, code, signal }) => record.tell(`${name} ended by itself: ${code} ${signal}`)
})
let outcome = NOT_RUN
if (deployment.isReady) {
  const { database, entries } = deployment
  const clients = entries.map(async (entry, index) => await runClient(entry, 'abc'[index]))
  await pause(QUIET_MS)
  const before = acknowledged.length
  const [primary, draining, deaf] = database.backends
  if (hasTrouble) {
    record.tell(`${draining.id} drains, to be replaced; ${deaf.id} receives nothing for ${DEAF_MS} ms`)
    database.replace(draining, 'i-s0000003')
    database.deafen(deaf, DEAF_MS)
  }
  await pause(CRASH_AFTER_MS)
  const during = acknowledged.length - before
  if (hasTrouble) {
    record.tell(`${primary.id} crashes for ${CRASHED_MS} ms with ${primary.log.length} commits; received: ` +
      `${draining.id} ${draining.log.length}, ${deaf.id} ${deaf.log.length}`)
    primary.crash()
    await pause(CRASHED_MS)
    await primary.restart()
  }
  await pause(AFTER_MS)
  over.abort()
  await Promise.all(clients)
  record.tell(`acknowledged: ${before} before, ${during} while the replica received nothing, ${acknowledged.length} in all`)
  outcome = before < MINIMUM_ACKNOWLEDGED || during < MINIMUM_ACKNOWLEDGED ? NOT_RUN : lost.length > 0 ? BROKEN : HELD
}
deployment.close()
record.tell(['held: no acknowledged commit is missing', `broken: ${lost.length} acknowledged commits are missing`,
  'the case could not run'][outcome])
record.close()
process.exit(outcome)
