// A client of PROTOCOL.md: one session on one connection, one statement at a time.
import { connect } from 'node:net'
import { readLines, splitWords } from './lines.mjs'

/** Reads lines like `readLines`, but counts rows in place of handing them on. */
function readLinesCounting (socket, onLine, onRows) {
  let rest = Buffer.alloc(0)
  socket.on('data', (chunk) => {
    let data = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
    for (;;) {
      const end = data.indexOf('\r\n')
      if (end < 0) {
        break
      }
      if (data[0] === 0x52 && data[1] === 0x4f) {
        // Rows: skips to the last whole line that begins with one, in steps, since other lines follow only at the end.
        const other = firstOtherLine(data)
        onRows(data.subarray(0, other))
        data = data.subarray(other)
      } else {
        onLine(data.subarray(0, end).toString('latin1'))
        data = data.subarray(end + 2)
      }
    }
    rest = data
  })
}

/** Returns where the first whole line that isn't a row begins, or the last line if it is not whole. */
function firstOtherLine (data) {
  const done = data.lastIndexOf('\r\nDONE ')
  const failed = data.lastIndexOf('\r\nERR ')
  const other = Math.max(done, failed)
  return (other < 0 ? data.lastIndexOf('\r\n') : other) + 2
}

/** Opens a session; resolves to it, or to undefined if the connection ends or `READY` takes more than 2 s. */
export async function openSession ({ host, port, database, who = 'u1', answerMs = 8000, countsRows = false }) {
  const socket = connect({ host, port, noDelay: true })
  let pending
  let rows = 0
  let rowBytes = 0
  let outcome
  let isOpen = true
  const settle = (answer) => {
    const settled = pending
    pending = undefined
    settled?.(answer)
  }
  const end = () => {
    isOpen = false
    socket.destroy()
    settle({ result: 'broken' })
  }
  socket.on('error', () => {})
  socket.once('close', end)
  const read = countsRows
    ? (onLine) => readLinesCounting(socket, onLine, (data) => { rowBytes += data.length })
    : (onLine) => readLines(socket, onLine)
  read((line) => {
    const [verb, first = '', rest = ''] = splitWords(line, 3)
    if (verb === 'ROW') {
      rows++
      rowBytes += line.length - 4
    } else if (verb === 'DONE') {
      outcome = { result: 'DONE', signature: first }
    } else if (verb === 'ERR') {
      outcome = { result: first, message: rest }
    } else if (verb === 'READY') {
      const answer = { ...outcome, rows, rowBytes, state: first, position: rest }
      outcome = undefined
      rows = rowBytes = 0
      settle(answer)
    }
  })
  const exchange = async (line, limitMs) => await new Promise((resolve) => {
    if (!isOpen) {
      resolve({ result: 'broken' })
      return
    }
    const timer = setTimeout(() => settle({ result: 'no answer' }), limitMs)
    pending = (answer) => {
      clearTimeout(timer)
      resolve(answer)
    }
    socket.write(`${line}\r\n`, 'latin1')
  })
  const started = await exchange(`START ${database} ${who}`, 2000)
  if (started.state !== 'I') {
    end()
    return undefined
  }
  return {
    get isOpen () { return isOpen },
    query: async (id, text) => await exchange(`QUERY ${id} ${text}`, answerMs),
    close: () => isOpen && socket.end('BYE\r\n'),
    destroy: end
  }
}
