/** Names the first primary of a group: the only upstream that claims to be one. */
import type { Logger } from '../../core/logger/index.ts'
import type { Directory } from '../directory/index.ts'
import { registryKeys, type GroupRow, type Registry } from '../registry/index.ts'

/**
 * Writes the first row of a group, unless another host has written it.
 *
 * @param group - the group
 * @param options - the registry and the upstreams
 */
export async function nameFirstPrimary (
  group: string,
  { registry, directory, logger }: { registry: Registry, directory: Pick<Directory, 'ofGroup'>, logger: Logger }
): Promise<void> {
  const claiming = directory.ofGroup(group).filter(({ claimsPrimary, draining }) => claimsPrimary && !draining)
  const [first] = claiming
  if (first === undefined || claiming.length !== 1) {
    return
  }
  const key = registryKeys.group(group)
  const row: GroupRow = {
    epoch: 1,
    primary: first.upstream,
    primaryBornAt: first.bornAt,
    state: 'open',
    term: 0,
    writtenBy: registry.self.name,
    succession: ''
  }
  const written = await registry.write({
    expected: [{ key, version: 0 }], put: [{ key, value: JSON.stringify(row) }]
  })
  logger.log('info', 'leadership.first-primary', { group, upstream: first.upstream, written })
  registry.requestPeerRefresh()
}
