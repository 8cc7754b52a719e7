/** Reads the CPU time of a process from `/proc`. */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import type { DeployedProcess } from '../test/fixtures/process-deployment.ts'

const TICKS_PER_SECOND = Number(execFileSync('getconf', ['CLK_TCK']).toString())
const MS_PER_SECOND = 1000
/** Indexes of `utime` and `stime` among the fields that follow the command name in `/proc/PID/stat`. */
const USER_FIELD = 11
const SYSTEM_FIELD = 12

/**
 * Returns the user and system CPU time of a process.
 *
 * @param process - the process
 * @returns milliseconds
 */
export function processorMs ({ child }: DeployedProcess): number {
  const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND * MS_PER_SECOND
}
