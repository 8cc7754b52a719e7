/** The memory budget of this process: all parts of a process share its heap. */
import { createMemoryBudget } from './memory-budget.ts'

export const processBudget = createMemoryBudget()
