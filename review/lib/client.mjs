/** A client's session on one connection; it sends a request when it has the answer to the one before. */
import { connect } from 'node:net'
import { attachLines, splitWords } from './wire.mjs'

const START_TIMEOUT_MS = 2000

/**
 * Opens a session.
 *
 * @returns the session; undefined if it does not start in two seconds
 */
export async function openSession ({ address, port, database }) {
  const socket = connect({ host: address, port })
  let pending
  let isOpen = true
  let answer = { rows: [] }
  const settle = (outcome) => {
    const resolve = pending
    pending = undefined
    answer = { rows: [] }
    resolve?.(outcome)
  }
  const end = () => {
    isOpen = false
    settle({ ...answer, code: 'CUT' })
  }
  socket.on('error', () => {})
  socket.once('close', end)
  const send = attachLines(socket, (line) => {
    const [word, rest = ''] = splitWords(line, 2)
    if (word === 'ROW') {
      answer.rows.push(rest)
    } else if (word === 'DONE') {
      answer.signature = rest
    } else if (word === 'ERR') {
      answer.code = splitWords(rest, 2)[0]
      answer.text = rest
    } else if (word === 'READY') {
      const [state, position] = rest.split(' ')
      settle({ ...answer, state, position })
    }
  })
  const ask = async (line) => await new Promise((resolve) => {
    pending = resolve
    isOpen ? send([line]) : settle({ rows: [], code: 'CUT' })
  })
  const timer = setTimeout(() => socket.destroy(), START_TIMEOUT_MS)
  const started = await ask(`START ${database} client`)
  clearTimeout(timer)
  if (started.code !== undefined) {
    socket.destroy()
    return undefined
  }
  return {
    get isOpen () { return isOpen },
    query: async (id, text) => await ask(`QUERY ${id} ${text}`),
    close: () => socket.destroy()
  }
}
