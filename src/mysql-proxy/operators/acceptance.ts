/** Brings operators' changes into force: checks the right, writes the change and its record, and reads it back. */
import { randomUUID } from 'node:crypto'
import type { Configuration } from '../configuration/index.ts'
import type { GroupChange } from '../configuration/configuration-store.ts'
import type { Group } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import type { Operator } from './authentication.ts'
import type { TableRow } from './tables.ts'

/** A group as the platform has it. */
interface CurrentGroup {
  group: Group
  version: number
}

/** Accepts changes; each call fails with `NotAllowed` without the right to change. */
export interface Acceptance {
  /** Makes changes; returns the new revision. Fails with `ConfigurationConflict` when another change won. */
  accept: (groups: GroupChange[], operator: Operator, changeId: string, reason: string) => Promise<number>
  /** Returns a group as the platform has it; fails with `UnknownGroup`. */
  currentGroup: (name: string) => Promise<CurrentGroup>
  /** Changes one group; returns a row that describes the change. */
  changeGroup: (
    name: string, operator: Operator, reason: string, change: (group: Group) => Group
  ) => Promise<TableRow[]>
}

/**
 * Creates the acceptance of a process.
 *
 * @param configuration - the configuration in force
 * @param logger - for events
 * @returns the acceptance
 */
export function createAcceptance (configuration: Configuration, logger: Logger): Acceptance {
  const accept: Acceptance['accept'] = async (groups, operator, changeId, reason) => {
    operator.demand('change')
    const change = { changeId, operator: operator.name, at: new Date().toISOString(), reason }
    const revision = await configuration.store.accept(groups, change)
    logger.log('info', 'configuration.accepted', { change: changeId, operator: operator.name, revision })
    await configuration.refresh()
    return revision
  }

  const currentGroup = async (name: string): Promise<CurrentGroup> => {
    await configuration.refresh()
    const found = configuration.versions().find((version) => version.name === name)
    if (found === undefined || found.group === null) {
      throw new WorkswardError('UnknownGroup', { group: name })
    }
    return { group: found.group, version: found.version }
  }

  return {
    accept,
    currentGroup,
    changeGroup: async (name, operator, reason, change) => {
      operator.demand('change')
      const { group, version } = await currentGroup(name)
      const changeId = randomUUID()
      const wanted = { name, group: change(group), baseVersion: version }
      const revision = await accept([wanted], operator, changeId, reason)
      return [{ group: name, version: version + 1, revision, change: changeId }]
    }
  }
}
