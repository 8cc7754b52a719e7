// Lines of the wire: words separated by blanks, ended by CR LF.

/** Calls `onLine` for each line that a socket receives. */
export function readLines (socket, onLine) {
  let chunks = []
  socket.on('data', (chunk) => {
    if (!chunk.includes(10)) {
      chunks.push(chunk)
      return
    }
    const lines = Buffer.concat([...chunks, chunk]).toString('latin1').split('\r\n')
    const rest = lines.pop()
    chunks = rest === '' ? [] : [Buffer.from(rest, 'latin1')]
    lines.forEach((line) => onLine(line))
  })
}

/** Splits a line into at most `count` words; the last one extends to the end. */
export function splitWords (line, count) {
  const parts = []
  let from = 0
  while (parts.length < count - 1) {
    const blank = line.indexOf(' ', from)
    if (blank < 0) {
      break
    }
    parts.push(line.slice(from, blank))
    from = blank + 1
  }
  parts.push(line.slice(from))
  return parts
}
