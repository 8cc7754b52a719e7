/** The record of a case: what was sent, answered and run, with the time since its start in seconds. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Creates the record of a case, which `close` writes to `record.txt` in its folder. */
export function createRecord (folder) {
  const startedAt = performance.now()
  const lines = []
  const write = (text) => {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`)
  }
  return {
    write,
    /** Writes a line to the record and to the standard output. */
    tell: (text) => {
      write(text)
      process.stdout.write(`${text}\n`)
    },
    close: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
  }
}
