/** The HTTP paths of the console: request schemas and handlers. */
import * as z from 'zod'
import { declarationsSchema } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import { runCommand, type CommandContext } from './commands.ts'
import { buildChanges, listDifferences } from './change.ts'
import { PEER_TIMEOUT_MS } from './consts.ts'
import type { OperatorRequest } from './index.ts'
import type { TableRow } from './tables.ts'

const queryBodySchema = z.object({ query: z.string() })
const planBodySchema = z.object({ declarations: declarationsSchema })
const changeBodySchema = z.object({ changeId: z.string(), reason: z.string().default('') })
const applyBodySchema = planBodySchema.extend(changeBodySchema.shape)
const rollbackBodySchema = changeBodySchema.extend({ group: z.string(), version: z.number().int() })
const progressBodySchema = z.object({ revision: z.number().int() })

/** Handlers by path; the right to read is checked before they are called. */
export const CONSOLE_PATHS: Record<string, (context: CommandContext, request: OperatorRequest) => Promise<unknown>> = {
  '/query': async (context, { operator, body }) => ({
    rows: await runCommand(context, queryBodySchema.parse(body).query, operator)
  }),
  '/plan': plan,
  '/apply': apply,
  '/rollback': rollBack,
  '/progress': async (context, { body }) => ({
    rows: await readProgress(context, progressBodySchema.parse(body).revision)
  })
}

async function plan ({ sources }: CommandContext, { body }: OperatorRequest): Promise<unknown> {
  const { configuration } = sources
  await configuration.refresh()
  return { rows: listDifferences(configuration.versions(), planBodySchema.parse(body).declarations) }
}

async function apply (
  { sources, configurationWriter }: CommandContext, { operator, body }: OperatorRequest
): Promise<unknown> {
  const { declarations, changeId, reason } = applyBodySchema.parse(body)
  operator.demand('change')
  const { configuration } = sources
  await configuration.refresh()
  const changes = buildChanges(configuration.versions(), declarations)
  const revision = changes.length === 0
    ? configuration.revision
    : await configurationWriter.accept(changes, operator, changeId, reason)
  return { revision, changeId, groups: changes.map(({ name }) => name) }
}

/** Writes the declarations of an earlier version as a new version, so that version numbers only increase. */
async function rollBack (
  { sources, configurationWriter }: CommandContext, { operator, body }: OperatorRequest
): Promise<unknown> {
  const { group, version, changeId, reason } = rollbackBodySchema.parse(body)
  operator.demand('change')
  const current = await configurationWriter.readCurrentGroup(group)
  const snapshot = await sources.configuration.store.snapshot(group, version)
  if (snapshot === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: `group ${group} has no version ${version}` })
  }
  const change = { name: group, group: snapshot.group, baseVersion: current.version }
  const revision = await configurationWriter.accept([change], operator, changeId, reason)
  return { revision, changeId, version: current.version + 1 }
}

/** Reads the applied revision of every known member; -1 when a member does not answer. */
async function readProgress ({ sources, settings, peers }: CommandContext, revision: number): Promise<TableRow[]> {
  const { configuration, membership } = sources
  return await Promise.all(membership.known().map(async (member) => {
    const applied = member.host === settings.host.name
      ? configuration.revision
      : await peers.request(member, 'configuration-revision', {}, PEER_TIMEOUT_MS).then(Number, () => -1)
    return { host: member.host, role: member.role, revision: applied, inForce: applied >= revision }
  }))
}
