/**
 * The operators' commands, one handler for each. A handler checks the operator's right to change; the right to read is
 * checked where the request arrives.
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
import type { Acceptance } from './acceptance.ts'
import type { Operator } from './authentication.ts'
import { changeValue } from './change.ts'
import { PEER_TIMEOUT_MS } from './consts.ts'
import { selectRows, TABLES, type TableRow, type TableSources } from './tables.ts'
import { requestWork, setOwnWork } from './work-state.ts'

/** Time in which `explain` must find an upstream, in milliseconds. */
const EXPLAIN_DEADLINE_MS = 2000

/** What commands work on. */
export interface CommandContext {
  settings: ProxySettings
  logger: Logger
  peers: Peers
  sources: TableSources
  acceptance: Acceptance
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
  drain: setWork,
  restore: setWork,
  promote,
  explain,
  watch: async (context, command) => await show(context, command.show)
}

/**
 * Runs a command.
 *
 * @param context - what commands work on
 * @param text - the command, as the operator wrote it
 * @param operator - on whose behalf it runs
 * @returns the rows to show
 * @throws WorkswardError `InvalidCommand`, `NotAllowed`, or what the command fails with
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
  { acceptance }: CommandContext, command: SetCommand | UnsetCommand, operator: Operator
): Promise<TableRow[]> {
  const [name = '', ...path] = command.path
  const value = command.type === 'set' ? command.value : undefined
  return await acceptance.changeGroup(name, operator, command.reason ?? '', (group) => changeValue(group, path, value))
}

async function setWork (context: CommandContext, command: DrainCommand, operator: Operator): Promise<TableRow[]> {
  return command.what === 'upstream'
    ? await setUpstreamWork(context, command, operator)
    : await setProxyWork(context, command, operator)
}

async function setUpstreamWork (
  { sources, acceptance }: CommandContext, { type, name }: DrainCommand, operator: Operator
): Promise<TableRow[]> {
  const found = sources.configuration.versions().find(({ group }) =>
    group?.upstreams.some((upstream) => upstream.name === name))
  if (found === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: `there is no upstream '${name}'` })
  }
  const state = type === 'drain' ? 'draining' : 'active'
  return await acceptance.changeGroup(found.name, operator, `${type} ${name}`, (group) =>
    changeValue(group, ['upstreams', name, 'state'], state))
}

async function setProxyWork (
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
    await setOwnWork(membership, type)
  } else {
    await requestWork(peers, member, type)
  }
  return [{ proxy: name, state: type === 'drain' ? 'leaving' : 'live' }]
}

async function promote (
  { sources, logger, peers, acceptance }: CommandContext, { group, upstream }: PromoteCommand, operator: Operator
): Promise<TableRow[]> {
  operator.demand('change')
  await acceptance.currentGroup(group)
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
