/** Plug-in `freshness`: the proofs of every group, and their exchange between hosts. */
import { registerPlugin } from '../../core/kernel/index.ts'
import { createGroupFreshness, type GroupFreshness } from './group-freshness.ts'
import { createProofExchange, type ProofExchange } from './proof-exchange.ts'

/** Service of the plug-in. */
export interface FreshnessOfGroups extends ProofExchange {
  of: (group: string) => GroupFreshness
}

declare module '../../core/kernel/index.ts' {
  interface Services { freshness: FreshnessOfGroups }
}

registerPlugin({
  name: 'freshness',
  dependencies: ['registry', 'peers'],
  start: ({ use, logger }) => {
    const groups = new Map<string, GroupFreshness>()
    const of = (name: string): GroupFreshness => {
      const known = groups.get(name) ?? createGroupFreshness()
      groups.set(name, known)
      return known
    }
    const { fetch, useProver } = createProofExchange({ registry: use('registry'), peers: use('peers'), logger, of })
    return {
      service: { of, fetch, useProver },
      dump: () => Object.fromEntries([...groups].map(([name, group]) => [name, group.newest]))
    }
  }
})
