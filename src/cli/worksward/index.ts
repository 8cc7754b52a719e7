/** `worksward`: command line for operators. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Command } from 'cac'
import { declarationsSchema, entrySettingsSchema, loadFile, readText } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import { parseLogLine } from '../../explain/parse-log.ts'
import { formatTrace, traceRequest } from '../../explain/request-trace.ts'
import { parseCommand } from '../../mysql-proxy/language/parser.ts'
import { doubleSha1 } from '../../mysql/password.ts'
import { hashOperatorKey } from '../../mysql-proxy/operators/authentication.ts'
import { runProgram } from '../run-command.ts'
import { callConsole, type ConsoleAccess, type ConsoleRow } from './console-client.ts'
import { formatTable } from './format-table.ts'
import { runPrompt } from './prompt.ts'

const DEFAULT_SERVER = '127.0.0.1:7002'
/** Polling interval of `watch` and `apply --wait`, in milliseconds. */
const POLL_INTERVAL_MS = 250

/** Options of all commands that call a proxy. */
interface AccessOptions {
  server: string
  json?: boolean
}

/** Options of `apply`. */
interface ApplyOptions extends AccessOptions {
  wait?: boolean
  timeout: number
  reason: string
}

await runProgram('worksward', (program) => {
  program.command('check <file>', 'Check a declarations file').action((file: string) => {
    const { groups } = loadFile(file, declarationsSchema)
    process.stdout.write(`${file}: ${Object.keys(groups).length} groups, no mistakes\n`)
  })
  program.command('check-entry <file>', 'Check the settings file of an entry process').action((file: string) => {
    const { host } = loadFile(file, entrySettingsSchema)
    process.stdout.write(`${file}: host ${host.name}, no mistakes\n`)
  })
  program.command('explain-log <...files>', 'Tell the story of one request from the logs of several processes')
    .option('--request <id>', 'Id of the request')
    .action(explainLog)
  withAccessOptions(program.command('plan <file>', 'Show what a declarations file would change')).action(planFile)
  withAccessOptions(program.command('apply <file>', 'Bring a declarations file into force'))
    .option('--wait', 'Wait until every live host has it in force')
    .option('--timeout <seconds>', 'How long to wait', { default: 30 })
    .option('--reason <text>', 'Why, for the record', { default: '' })
    .action(applyFile)
  withAccessOptions(program.command('rollback <group> <version>', 'Make an old version of a group the newest'))
    .option('--reason <text>', 'Why, for the record', { default: '' })
    .action(rollBack)
  withAccessOptions(program.command('query <command>', 'Run one command of the language')).action(query)
  withAccessOptions(program.command('prompt', 'Type commands, with history and completion'))
    .action(async (options: AccessOptions) => await runPrompt(async (text) => await runText(text, options)))
  program.command('dump <address>', 'Print the state of a process, by the ip:port of its HTTP endpoint')
    .action(async (address: string) => {
      const response = await fetch(`http://${address}/dump`)
      process.stdout.write(await response.text())
    })
  program.command('hash-password <password>', 'Print the hash of a password, for declarations')
    .action((password: string) => { process.stdout.write(doubleSha1(String(password)).toString('hex') + '\n') })
  program.command('hash-key <key>', 'Print the hash of an operator\'s key, for settings')
    .action((key: string) => { process.stdout.write(hashOperatorKey(String(key)) + '\n') })
})

function withAccessOptions (command: Command): Command {
  return command
    .option('--server <address>', 'ip:port of a proxy\'s HTTP endpoint; the key is in WORKSWARD_KEY', {
      default: process.env['WORKSWARD_SERVER'] ?? DEFAULT_SERVER
    })
    .option('--json', 'Print JSON instead of a table')
}

function consoleAccess ({ server }: AccessOptions): ConsoleAccess {
  return { server, key: process.env['WORKSWARD_KEY'] ?? '' }
}

function format (rows: ConsoleRow[], { json }: AccessOptions): string {
  return json === true ? JSON.stringify(rows) + '\n' : formatTable(rows)
}

async function explainLog (files: string[], { request }: { request?: string | number }): Promise<void> {
  if (request === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: '--request ID is missing' })
  }
  const entries = files.flatMap((file) =>
    readText(file).split('\n').flatMap((line) => parseLogLine(line) ?? []))
  const trace = traceRequest(entries, String(request))
  if (trace.lines.length === 0) {
    throw new WorkswardError('InvalidCommand', { reason: `no line of ${files.join(', ')} carries the id ${request}` })
  }
  process.stdout.write(formatTrace(trace))
}

async function planFile (file: string, options: AccessOptions): Promise<void> {
  const declarations = loadFile(file, declarationsSchema)
  const { rows } = await callConsole<{ rows: ConsoleRow[] }>(consoleAccess(options), '/plan', { declarations })
  process.stdout.write(rows.length === 0 ? 'nothing would change\n' : format(rows, options))
}

async function applyFile (file: string, options: ApplyOptions): Promise<void> {
  const declarations = loadFile(file, declarationsSchema)
  const body = { declarations, changeId: randomUUID(), reason: options.reason }
  const { revision, changeId, groups } = await callConsole<{ revision: number, changeId: string, groups: string[] }>(
    consoleAccess(options), '/apply', body)
  process.stdout.write(groups.length === 0
    ? `nothing to change; revision ${revision} is in force\n`
    : `accepted as revision ${revision}, change ${changeId}: ${groups.join(', ')}\n`)
  if (options.wait === true) {
    await waitUntilInForce(revision, options)
  }
}

async function waitUntilInForce (revision: number, options: ApplyOptions): Promise<void> {
  const deadline = performance.now() + options.timeout * 1000
  const reported = new Set<string>()
  for (;;) {
    const { rows } = await callConsole<{ rows: ConsoleRow[] }>(consoleAccess(options), '/progress', { revision })
    for (const { host, inForce } of rows) {
      if (inForce === true && !reported.has(String(host))) {
        reported.add(String(host))
        process.stdout.write(`${host}: in force\n`)
      }
    }
    const missing = rows.filter(({ inForce }) => inForce !== true).map(({ host }) => host)
    if (missing.length === 0) {
      return
    }
    if (performance.now() > deadline) {
      throw new WorkswardError('PeerUnavailable', { peer: missing.join(', '), reason: `not in force after ${options.timeout} s` })
    }
    await sleep(POLL_INTERVAL_MS)
  }
}

async function rollBack (group: string, version: string, options: AccessOptions & { reason: string }): Promise<void> {
  const body = { group, version: Number(version), changeId: randomUUID(), reason: options.reason }
  const result = await callConsole<{ revision: number, version: number }>(consoleAccess(options), '/rollback', body)
  process.stdout.write(`accepted as version ${result.version} of ${group}, revision ${result.revision}\n`)
}

async function runText (text: string, options: AccessOptions): Promise<string> {
  parseCommand(text)
  const { rows } = await callConsole<{ rows: ConsoleRow[] }>(consoleAccess(options), '/query', { query: text })
  return format(rows, options)
}

async function query (text: string, options: AccessOptions): Promise<void> {
  if (parseCommand(text).type !== 'watch') {
    process.stdout.write(await runText(text, options))
    return
  }
  for (let previous = ''; ;) {
    const current = await runText(text, options)
    if (current !== previous) {
      process.stdout.write(`${new Date().toISOString()}\n${current}`)
      previous = current
    }
    await sleep(POLL_INTERVAL_MS)
  }
}
