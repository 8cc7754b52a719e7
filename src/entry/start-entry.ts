/** Process `worksward-entry`: serves callers on each entry host, and manages failovers together with its peers. */
import '../../platform/index.ts'
import './desired-state/index.ts'
import './directory/index.ts'
import './requests/index.ts'
import './freshness/index.ts'
import './homes/index.ts'
import './leadership/index.ts'
import './limits/index.ts'
import '../memory/index.ts'
import '../metrics/index.ts'
import '../peers/index.ts'
import './pools/index.ts'
import './readiness/index.ts'
import './registry/index.ts'
import './store/index.ts'
import type { EntrySettings } from '../core/config/entry-settings.ts'
import { startKernel, type Kernel, type KernelOptions } from '../core/kernel/index.ts'

/**
 * Starts an entry process.
 *
 * @param settings - its settings
 * @param options - logger, dialer and the signal to stop
 * @returns the running kernel
 */
export async function startEntry (
  settings: EntrySettings, options: Pick<KernelOptions, 'logger' | 'dialer' | 'signal'>
): Promise<Kernel> {
  return await startKernel({ ...options, settings, plugins: ['readiness'] })
}
