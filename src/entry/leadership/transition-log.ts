/** Logs each change of a group's primary that this host sees, and claims of upstreams that the row does not name. */
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import type { GroupRow, Registry } from '../registry/index.ts'
import type { PrimaryLeases } from './primary-leases.ts'

/** Options of {@link logTransitions}. */
interface TransitionLogOptions {
  registry: Pick<Registry, 'current' | 'onChange'>
  directory: Pick<Directory, 'onChange'>
  primaryLeases: Pick<PrimaryLeases, 'ageMs' | 'closedEpochs'>
  /** Names of the groups. */
  groups: () => string[]
  logger: Logger
}

/**
 * Logs each newer epoch of a group, and each upstream other than the primary that begins to claim to be it.
 *
 * @param options - the rows, the upstreams and the leases
 */
export function logTransitions ({ registry, directory, primaryLeases, groups, logger }: TransitionLogOptions): void {
  const lastOpenRows = new Map<string, GroupRow>()
  const closedHere = (group: string, epoch: number): boolean =>
    primaryLeases.closedEpochs().some((closed) => closed.group === group && closed.epoch >= epoch)

  const recordRow = (group: string): void => {
    const { row } = registry.current.group(group)
    const before = lastOpenRows.get(group)
    if (row === undefined || row.state === 'closed') {
      return
    }
    lastOpenRows.set(group, row)
    if (before !== undefined && row.epoch > before.epoch) {
      logger.log('info', 'leadership.epoch-passed', {
        group,
        epoch: before.epoch,
        upstream: before.primary,
        newEpoch: row.epoch,
        closedHere: closedHere(group, before.epoch),
        leaseAgeMs: Math.round(primaryLeases.ageMs())
      })
    }
  }
  registry.onChange(() => groups().forEach(recordRow))

  const claimants = new Set<string>()
  directory.onChange(({ upstream: { upstream, group, claimsPrimary } }) => {
    const beganToClaim = claimsPrimary && !claimants.has(upstream)
    claimsPrimary ? claimants.add(upstream) : claimants.delete(upstream)
    const { row } = registry.current.group(group)
    if (beganToClaim && row !== undefined && row.primary !== upstream) {
      const { primary, epoch, state } = row
      logger.log('warn', 'leadership.other-primary', { group, upstream, primary, epoch, state })
    }
  })
}
