/**
 * A client sends a broken packet: a request whose first word no statement has. The entry process that reads it must
 * refuse the request and go on. It is started again when it ends; the client does the same once in each of its lives.
 */
import { openSession } from '../lib/client.mjs'
import { DATABASE, startDeployment } from '../lib/deployment.mjs'
import { CLIENT_PORT } from '../lib/entry.mjs'
import { pause } from '../lib/network.mjs'
import { createRecord } from '../lib/record.mjs'

const [BROKEN, HELD, NOT_RUN] = [1, 0, 2]
const ROUNDS = 3
/** The rule: on a tenth of the machines in use, at least two, processes end on their own three times. */
const [MACHINES, ENDS] = [2, 3]
const BROKEN_PACKET = 'valueOf 1a4'
const SOUND_PACKET = 'READ 1a4'
const READY_TIMEOUT_MS = 12_000
const END_WAIT_MS = 1500
const READ_PAUSE_MS = 20

const text = process.env.TROUBLE === '0' ? SOUND_PACKET : BROKEN_PACKET
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

async function sendPacket (entry, round) {
  if (!await entry.waitUntilReady(READY_TIMEOUT_MS)) {
    return false
  }
  const session = await openSession({ address: entry.address, port: CLIENT_PORT, database: DATABASE })
  if (session === undefined) {
    return false
  }
  const id = `f00000000000000${round}`
  record.tell(`${entry.name} <- QUERY ${id} ${text}`)
  const { code, signature } = await session.query(id, text)
  record.tell(`${entry.name} -> ${id} ${code ?? `DONE ${signature}`}`)
  await pause(END_WAIT_MS)
  session.close()
  return true
}

const deployment = await startDeployment({
  record,
  onRun: ({ backend, id, verb, thing = '' }) => record.write(`${backend} runs ${id} ${verb} ${thing}`),
  onEnd: ({ name, code, signal, log }) => {
    ends.set(name, (ends.get(name) ?? 0) + 1)
    record.tell(`${name} ended on its own, code ${code}, signal ${signal}: ${log.find((line) => line.includes('process.crashed')) ?? log.at(-1)}`)
  }
})
let outcome = NOT_RUN
if (deployment.isReady) {
  const attacked = deployment.entries.slice(0, MACHINES)
  const bystanders = deployment.entries.map(async (entry, index) => await runBystander(entry, 'abc'[index]))
  let hasRun = true
  for (let round = 1; round <= ROUNDS && hasRun; round++) {
    hasRun = (await Promise.all(attacked.map(async (entry) => await sendPacket(entry, round)))).every(Boolean)
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
