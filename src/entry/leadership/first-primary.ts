/** Records the first primary of a group: the only upstream that claims to be one. */
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import { registryKeys, type GroupRow, type Registry } from '../registry/index.ts'

/**
 * Writes the first row of a group. The write fails if another host has written the row already.
 *
 * @param group - the group
 * @param options - the registry and the upstreams
 */
export async function recordFirstPrimary (
  group: string,
  { registry, directory, logger }: { registry: Registry, directory: Pick<Directory, 'ofGroup'>, logger: Logger }
): Promise<void> {
  const claimants = directory.ofGroup(group).filter(({ claimsPrimary, draining }) => claimsPrimary && !draining)
  const [firstPrimary] = claimants
  if (firstPrimary === undefined || claimants.length !== 1) {
    return
  }
  const key = registryKeys.group(group)
  const row: GroupRow = {
    epoch: 1,
    primary: firstPrimary.upstream,
    primaryBornAt: firstPrimary.bornAt,
    state: 'open',
    term: 0,
    writtenBy: registry.self.name,
    succession: ''
  }
  const written = await registry.write({
    expected: [{ key, version: 0 }], put: [{ key, value: JSON.stringify(row) }]
  })
  logger.log('info', 'leadership.first-primary', { group, upstream: firstPrimary.upstream, written })
  registry.requestPeerRefresh()
}
