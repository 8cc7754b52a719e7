/** Lines of the wire: words separated by blanks, ended by CR LF. */

/** Calls a function with each line that a socket receives; returns the function that sends lines. */
export function attachLines (socket, onLine) {
  let partial = ''
  socket.setEncoding('latin1')
  socket.on('data', (data) => {
    const lines = (partial + data).split('\r\n')
    partial = lines.pop()
    lines.forEach(onLine)
  })
  return (lines) => {
    if (socket.writable) {
      socket.write(lines.map((line) => `${line}\r\n`).join(''), 'latin1')
    }
  }
}

/** Splits a line into at most `count` words, of which the last one extends to the end. */
export function splitWords (line, count) {
  const words = []
  let from = 0
  while (words.length < count - 1) {
    const blank = line.indexOf(' ', from)
    if (blank < 0) {
      break
    }
    words.push(line.slice(from, blank))
    from = blank + 1
  }
  return [...words, line.slice(from)]
}
