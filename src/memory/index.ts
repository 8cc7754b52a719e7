/** Plug-in `memory`: the memory that this process holds for callers, upstreams and peers, and its limits. */
import { registerPlugin } from '../core/kernel/index.ts'
import { MEMORY_USES, type MemoryBudget } from '../core/memory/memory-budget.ts'
import { processBudget as budget } from '../core/memory/process-budget.ts'
import { createSharedTexts, type SharedTexts } from '../core/memory/shared-texts.ts'
import '../metrics/index.ts'

/** Service of the plug-in `memory`. */
export interface Memory {
  budget: MemoryBudget
  /** Texts of session values and prepared statements. */
  texts: SharedTexts
}

declare module '../core/kernel/index.ts' {
  interface Services { memory: Memory }
}

registerPlugin({
  name: 'memory',
  dependencies: ['metrics'],
  start: ({ use }) => {
    const texts = createSharedTexts(budget)
    const metrics = use('metrics')
    const byUse = (read: (use: typeof MEMORY_USES[number]) => number): Record<string, number> =>
      Object.fromEntries(MEMORY_USES.map((use) => [use, read(use)]))
    metrics.registerGauge('worksward_memory_held_bytes', 'Memory that is held for others, by use',
      () => byUse(budget.heldBytes))
    metrics.registerGauge('worksward_memory_maximum_bytes', 'Memory that may be held for others, by use',
      () => byUse(budget.maximumBytes))
    return {
      service: { budget, texts },
      dump: () => ({ heldBytes: byUse(budget.heldBytes), maximumBytes: byUse(budget.maximumBytes), texts: texts.size })
    }
  }
})
