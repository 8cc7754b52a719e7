/** Plug-in `console`: runs the operators' commands on a proxy. */
import * as z from 'zod'
import { declarationsSchema, type ProxySettings } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import { registerPlugin } from '../../core/kernel/index.ts'
import { KEEPERS_PER_GROUP } from '../failover/types.ts'
import { parseCommand } from '../language/parser.ts'
import type {
  Command, DrainCommand, ExplainCommand, PromoteCommand, SetCommand, ShowCommand, UnsetCommand
} from '../language/types.ts'
import { readNamedRows } from '../../mysql/named-rows.ts'
import { placeGroup } from '../../placement/group-homes.ts'
import { NOTHING_SEEN } from '../../positions/position.ts'
import { createAcceptance } from './acceptance.ts'
import type { Operator } from './authentication.ts'
import { buildChanges, changeValue, listDifferences } from './change.ts'
import { selectRows, TABLES, type TableRow, type TableSources } from './tables.ts'

/** Service of the plug-in. */
interface OperatorConsole {
  /** Runs a command on behalf of an operator. */
  run: (text: string, operator: Operator) => Promise<TableRow[]>
}

declare module '../../core/kernel/index.ts' {
  interface Services { console: OperatorConsole }
}

const PEER_TIMEOUT_MS = 3000
const EXPLAIN_DEADLINE_MS = 2000

const queryBodySchema = z.object({ query: z.string() })
const planBodySchema = z.object({ declarations: declarationsSchema })
const changeBodySchema = z.object({ changeId: z.string(), reason: z.string().default('') })
const applyBodySchema = planBodySchema.extend(changeBodySchema.shape)
const rollbackBodySchema = changeBodySchema.extend({ group: z.string(), version: z.number().int() })
const progressBodySchema = z.object({ revision: z.number().int() })

type CommandHandlers = {
  [Type in Command['type']]: (
    command: Type extends DrainCommand['type'] ? DrainCommand : Extract<Command, { type: Type }>, operator: Operator
  ) => Promise<TableRow[]>
}

registerPlugin({
  name: 'console',
  needs: ['operators', 'configuration', 'membership', 'routing', 'callers', 'peers'],
  start: (context) => {
    const settings = context.settings as ProxySettings
    const configuration = context.use('configuration')
    const membership = context.use('membership')
    const peers = context.use('peers')
    const routing = context.use('routing')
    const operators = context.use('operators')
    const sources: TableSources = { configuration, membership, routing, callers: context.use('callers') }

    const { accept, currentGroup, changeGroup } = createAcceptance(configuration, context.logger)

    const setValue = async (command: SetCommand | UnsetCommand, operator: Operator): Promise<TableRow[]> => {
      const [name = '', ...path] = command.path
      const value = command.type === 'set' ? command.value : undefined
      return await changeGroup(name, operator, command.reason ?? '', (group) => changeValue(group, path, value))
    }

    const show = async (command: ShowCommand): Promise<TableRow[]> =>
      selectRows(await TABLES[command.table](sources), command)

    const drainUpstream = async ({ type, name }: DrainCommand, operator: Operator): Promise<TableRow[]> => {
      const found = configuration.versions().find(({ group }) =>
        group?.upstreams.some((upstream) => upstream.name === name))
      if (found === undefined) {
        throw new WorkswardError('InvalidCommand', { reason: `there is no upstream '${name}'` })
      }
      const state = type === 'drain' ? 'draining' : 'active'
      return await changeGroup(found.name, operator, `${type} ${name}`, (group) =>
        changeValue(group, ['upstreams', name, 'state'], state))
    }

    const drainProxy = async ({ type, name }: DrainCommand, operator: Operator): Promise<TableRow[]> => {
      operator.demand('change')
      const member = membership.known().find(({ host, role }) => host === name && role === 'proxy')
      if (member === undefined) {
        throw new WorkswardError('InvalidCommand', { reason: `there is no proxy '${name}'` })
      }
      context.logger.log('info', `proxy.${type}`, { peer: name, operator: operator.name })
      if (name === settings.host.name) {
        await setOwnWork(type)
      } else {
        await peers.request(member, 'set-work', { type }, PEER_TIMEOUT_MS)
      }
      return [{ proxy: name, state: type === 'drain' ? 'leaving' : 'live' }]
    }

    const setOwnWork = async (type: 'drain' | 'restore'): Promise<void> => {
      type === 'drain' ? await membership.leave() : membership.rejoin()
    }
    peers.handle('set-work', async (body) => {
      await setOwnWork(z.object({ type: z.enum(['drain', 'restore']) }).parse(body).type)
      return true
    })

    const promote = async ({ group, upstream }: PromoteCommand, operator: Operator): Promise<TableRow[]> => {
      operator.demand('change')
      await currentGroup(group)
      const [keeper] = placeGroup(group, membership.present('keeper'), KEEPERS_PER_GROUP)
      if (keeper === undefined) {
        throw new WorkswardError('InvalidCommand', { reason: 'no keeper is present' })
      }
      context.logger.log('info', 'operator.promote', { group, upstream, operator: operator.name })
      const outcome = await peers.request(keeper, 'promote', { group, upstream }, PEER_TIMEOUT_MS)
      return [{ group, keeper: keeper.host, outcome: String(outcome) }]
    }

    const explain = async ({ group, service, kind }: ExplainCommand): Promise<TableRow[]> => {
      const { reply, home } = await routing.send({
        type: 'explain', group, service, kind, floor: NOTHING_SEEN, deadlineMs: EXPLAIN_DEADLINE_MS
      })
      const { answer } = reply
      if (answer.type !== 'rows') {
        return []
      }
      return readNamedRows(answer).map((row) => ({ home, ...row }))
    }

    const setWork = async (command: DrainCommand, operator: Operator): Promise<TableRow[]> =>
      command.what === 'upstream' ? await drainUpstream(command, operator) : await drainProxy(command, operator)

    const handlers: CommandHandlers = {
      show,
      set: setValue,
      unset: setValue,
      drain: setWork,
      restore: setWork,
      promote,
      explain,
      watch: async (command) => await show(command.show)
    }

    const run = async (text: string, operator: Operator): Promise<TableRow[]> => {
      const command = parseCommand(text)
      const handle = handlers[command.type] as (command: Command, operator: Operator) => Promise<TableRow[]>
      return await handle(command, operator)
    }

    /** Asks every member that is there which revision it has. */
    const progress = async (revision: number): Promise<TableRow[]> => {
      const members = membership.known().filter(({ state }) => state !== 'gone')
      return await Promise.all(members.map(async (member) => {
        const has = member.host === settings.host.name
          ? configuration.revision
          : await peers.request(member, 'configuration-revision', {}, PEER_TIMEOUT_MS).then(Number, () => -1)
        return { host: member.host, role: member.role, revision: has, inForce: has >= revision }
      }))
    }

    operators.handle('/query', async ({ operator, body }) => ({
      rows: await run(queryBodySchema.parse(body).query, operator)
    }))
    operators.handle('/plan', async ({ body }) => {
      await configuration.refresh()
      return { rows: listDifferences(configuration.versions(), planBodySchema.parse(body).declarations) }
    })
    operators.handle('/apply', async ({ operator, body }) => {
      const { declarations, changeId, reason } = applyBodySchema.parse(body)
      operator.demand('change')
      await configuration.refresh()
      const changes = buildChanges(configuration.versions(), declarations)
      const revision = changes.length === 0
        ? configuration.revision
        : await accept(changes, operator, changeId, reason)
      return { revision, changeId, groups: changes.map(({ name }) => name) }
    })
    operators.handle('/rollback', async ({ operator, body }) => {
      const { group, version, changeId, reason } = rollbackBodySchema.parse(body)
      operator.demand('change')
      const current = await currentGroup(group)
      const snapshot = await configuration.store.snapshot(group, version)
      if (snapshot === undefined) {
        throw new WorkswardError('InvalidCommand', { reason: `group ${group} has no version ${version}` })
      }
      const change = { name: group, group: snapshot.group, baseVersion: current.version }
      return { revision: await accept([change], operator, changeId, reason), changeId, version: current.version + 1 }
    })
    operators.handle('/progress', async ({ body }) => ({ rows: await progress(progressBodySchema.parse(body).revision) }))

    return { service: { run } }
  }
})
