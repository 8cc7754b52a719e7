/**
 * Handlers of the operators' commands. Handlers of commands that change something check the right to change; the HTTP
 * endpoint has already checked the right to read.
 */
import type { ProxySettings } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { readNamedRows } from '../../mysql/named-rows.ts'
import type { Peers } from '../../peers/index.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import { NOTHING_SEEN } from '../../positions/position.ts'
import { KEEPERS_PER_GROUP } from '../failover/types.ts'
import { parseCommand } from '../language/parser.ts'
import type {
  Command, DrainCommand, ExplainCommand, PromoteCommand, SetCommand, ShowCommand, UnsetCommand
} from '../language/types.ts'
import type { ConfigurationWriter } from './configuration-writer.ts'
import type { Operator } from './authentication.ts'
import { changeValue } from './change.ts'
import { PEER_TIMEOUT_MS } from './consts.ts'
import { selectRows, TABLES, type TableRow, type TableSources } from './tables.ts'
import { drainOrRestoreSelf, requestDrainOrRestore } from './drain-state.ts'

/** Deadline of the request that `explain` sends, in milliseconds. */
const EXPLAIN_DEADLINE_MS = 2000

/** Dependencies of the command handlers. */
export interface CommandContext {
  settings: ProxySettings
  logger: Logger
  peers: Peers
  sources: TableSources
  configurationWriter: ConfigurationWriter
}

type CommandHandlers = {
  [Type in Command['type']]: (
    context: CommandContext,
    command: Type extends DrainCommand['type'] ? DrainCommand : Extract<Command, { type: Type }>,
    operator: Operator
  ) => Promise<TableRow[]>
}

const COMMAND_HANDLERS: CommandHandlers = {
  show,
  set: setValue,
  unset: setValue,
  drain: drainOrRestore,
  restore: drainOrRestore,
  promote,
  explain,
  watch: async (context, command) => await show(context, command.show)
}

/**
 * Parses and runs a command.
 *
 * @param context - dependencies of the command handlers
 * @param text - the command
 * @param operator - the operator who sent the command
 * @returns the resulting rows
 * @throws WorkswardError `InvalidCommand`, `NotAllowed`, or an error of the command itself
 */
export async function runCommand (context: CommandContext, text: string, operator: Operator): Promise<TableRow[]> {
  const command = parseCommand(text)
  const handle = COMMAND_HANDLERS[command.type] as (
    context: CommandContext, command: Command, operator: Operator
  ) => Promise<TableRow[]>
  return await handle(context, command, operator)
}

async function show ({ sources }: CommandContext, command: ShowCommand): Promise<TableRow[]> {
  return selectRows(await TABLES[command.table](sources), command)
}

async function setValue (
  { configurationWriter }: CommandContext, command: SetCommand | UnsetCommand, operator: Operator
): Promise<TableRow[]> {
  const [name = '', ...path] = command.path
  const value = command.type === 'set' ? command.value : undefined
  return await configurationWriter.changeGroup(name, operator, command.reason ?? '', (group) =>
    changeValue(group, path, value))
}

async function drainOrRestore (
  context: CommandContext, command: DrainCommand, operator: Operator
): Promise<TableRow[]> {
  return command.what === 'upstream'
    ? await drainOrRestoreUpstream(context, command, operator)
    : await drainOrRestoreProxy(context, command, operator)
}

async function drainOrRestoreUpstream (
  { sources, configurationWriter }: CommandContext, { type, name }: DrainCommand, operator: Operator
): Promise<TableRow[]> {
  const owner = sources.configuration.versions().find(({ group }) =>
    group?.upstreams.some((upstream) => upstream.name === name))
  if (owner === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: `there is no upstream '${name}'` })
  }
  const state = type === 'drain' ? 'draining' : 'active'
  return await configurationWriter.changeGroup(owner.name, operator, `${type} ${name}`, (group) =>
    changeValue(group, ['upstreams', name, 'state'], state))
}

async function drainOrRestoreProxy (
  { sources, settings, logger, peers }: CommandContext, { type, name }: DrainCommand, operator: Operator
): Promise<TableRow[]> {
  operator.demand('change')
  const { membership } = sources
  const member = membership.known().find(({ host, role }) => host === name && role === 'proxy')
  if (member === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: `there is no proxy '${name}'` })
  }
  logger.log('info', `proxy.${type}`, { peer: name, operator: operator.name })
  if (name === settings.host.name) {
    await drainOrRestoreSelf(membership, type)
  } else {
    await requestDrainOrRestore(peers, member, type)
  }
  return [{ proxy: name, state: type === 'drain' ? 'leaving' : 'live' }]
}

async function promote (
  { sources, logger, peers, configurationWriter }: CommandContext,
  { group, upstream }: PromoteCommand,
  operator: Operator
): Promise<TableRow[]> {
  operator.demand('change')
  await configurationWriter.readCurrentGroup(group)
  const [keeper] = placeGroup(group, sources.membership.available('keeper'), KEEPERS_PER_GROUP)
  if (keeper === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: 'no keeper is present' })
  }
  logger.log('info', 'operator.promote', { group, upstream, operator: operator.name })
  const outcome = await peers.request(keeper, 'promote', { group, upstream }, PEER_TIMEOUT_MS)
  return [{ group, keeper: keeper.host, outcome: String(outcome) }]
}

async function explain (
  { sources }: CommandContext, { group, service, kind }: ExplainCommand
): Promise<TableRow[]> {
  const { reply, home } = await sources.routing.send({
    type: 'explain', group, service, kind, floor: NOTHING_SEEN, deadlineMs: EXPLAIN_DEADLINE_MS
  })
  const { answer } = reply
  return answer.type === 'rows' ? readNamedRows(answer).map((row) => ({ home, ...row })) : []
}
