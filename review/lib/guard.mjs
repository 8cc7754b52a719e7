/** Ends a case that can't go on, with the exit code for that, and everything that it started. */
const NOT_RUN = 2
const LIMIT_MS = 115_000
const closers = new Set()

function giveUp (reason) {
  process.stderr.write(`the case could not run: ${reason}\n`)
  closers.forEach((close) => close())
  process.exit(NOT_RUN)
}

process.on('uncaughtException', (error) => giveUp(error.stack))
process.on('unhandledRejection', (reason) => giveUp(reason?.stack ?? reason))
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => giveUp(signal))
}
setTimeout(() => giveUp('it takes too long'), LIMIT_MS).unref()

/** Registers what has to be closed in any case. */
export function closeAtEnd (close) {
  closers.add(close)
}
