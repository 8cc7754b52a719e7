/** Writes operators' changes to the platform after checking the right to change, then applies them on this process. */
import { randomUUID } from 'node:crypto'
import type { Configuration } from '../configuration/index.ts'
import type { GroupChange } from '../configuration/configuration-store.ts'
import type { Group } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Operator } from './authentication.ts'
import type { TableRow } from './tables.ts'

/** A group as stored in the platform. */
interface CurrentGroup {
  group: Group
  version: number
}

/** Writes changes; throws `NotAllowed` when the operator lacks the right to change. */
export interface ConfigurationWriter {
  /**
   * Writes one change to any number of groups.
   *
   * @returns the new revision
   * @throws WorkswardError `ConfigurationConflict` when a concurrent change was accepted first
   */
  accept: (groups: GroupChange[], operator: Operator, changeId: string, reason: string) => Promise<number>
  /** Reads a group from the platform; throws `UnknownGroup` when it does not exist. */
  readCurrentGroup: (name: string) => Promise<CurrentGroup>
  /** Replaces the declarations of one group; returns a row that describes the change. */
  changeGroup: (
    name: string, operator: Operator, reason: string, change: (group: Group) => Group
  ) => Promise<TableRow[]>
}

/**
 * Creates the writer of a process.
 *
 * @param configuration - stores the changes and applies them
 * @param logger - receives the event `configuration.accepted`
 * @returns the writer
 */
export function createConfigurationWriter (configuration: Configuration, logger: Logger): ConfigurationWriter {
  const accept: ConfigurationWriter['accept'] = async (groups, operator, changeId, reason) => {
    operator.demand('change')
    const change = { changeId, operator: operator.name, at: new Date().toISOString(), reason }
    const revision = await configuration.store.accept(groups, change)
    logger.log('info', 'configuration.accepted', { change: changeId, operator: operator.name, revision })
    await configuration.refresh()
    return revision
  }

  const readCurrentGroup = async (name: string): Promise<CurrentGroup> => {
    await configuration.refresh()
    const applied = configuration.versions().find((version) => version.name === name)
    if (applied === undefined || applied.group === null) {
      throw new WorkswardError('UnknownGroup', { group: name })
    }
    return { group: applied.group, version: applied.version }
  }

  return {
    accept,
    readCurrentGroup,
    changeGroup: async (name, operator, reason, change) => {
      operator.demand('change')
      const { group, version } = await readCurrentGroup(name)
      const changeId = randomUUID()
      const groupChange = { name, group: change(group), baseVersion: version }
      const revision = await accept([groupChange], operator, changeId, reason)
      return [{ group: name, version: version + 1, revision, change: changeId }]
    }
  }
}
