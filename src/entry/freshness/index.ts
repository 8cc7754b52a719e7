/** Plug-in `freshness`: proofs of log positions for every group, and their exchange between hosts. */
import { registerPlugin } from '../../core/kernel/index.ts'
import { createGroupFreshness, type GroupFreshness } from './group-freshness.ts'
import { createProofExchange, type ProofExchange } from './proof-exchange.ts'

export interface FreshnessService extends ProofExchange {
  /** Returns the proofs of a group. */
  of: (group: string) => GroupFreshness
}

declare module '../../core/kernel/index.ts' {
  interface Services { freshness: FreshnessService }
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
    const { fetch, setProver } = createProofExchange({ registry: use('registry'), peers: use('peers'), logger, of })
    return {
      service: { of, fetch, setProver },
      dump: () => Object.fromEntries([...groups].map(([name, group]) => [name, group.newest]))
    }
  }
})
