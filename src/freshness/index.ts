/** Plug-in `freshness`: the proofs of every group. */
import { registerPlugin } from '../core/kernel/index.ts'
import { createGroupFreshness, type GroupFreshness } from './group-freshness.ts'

export type { GroupFreshness } from './group-freshness.ts'

/** Service of the plug-in. */
export interface FreshnessOfGroups {
  of: (group: string) => GroupFreshness
}

declare module '../core/kernel/index.ts' {
  interface Services { freshness: FreshnessOfGroups }
}

registerPlugin({
  name: 'freshness',
  needs: [],
  start: () => {
    const groups = new Map<string, GroupFreshness>()
    const of = (name: string): GroupFreshness => {
      const known = groups.get(name) ?? createGroupFreshness()
      groups.set(name, known)
      return known
    }
    return {
      service: { of },
      dump: () => Object.fromEntries([...groups].map(([name, group]) => [name, group.newest]))
    }
  }
})
