/** Assembles the plug-ins of the process `worksward-keeper`. */
import './configuration/index.ts'
import './failover/index.ts'
import './membership/index.ts'
import '../metrics/index.ts'
import './operators/index.ts'
import '../peers/index.ts'
import './storage/index.ts'
import type { KeeperSettings } from '../core/config/index.ts'
import { startKernel, type Kernel, type KernelOptions } from '../core/kernel/index.ts'

/**
 * Starts a keeper.
 *
 * @param settings - settings of the keeper
 * @param options - logger, dialer and the signal to stop of the process
 * @returns the running kernel
 */
export async function startKeeper (
  settings: KeeperSettings, options: Pick<KernelOptions, 'logger' | 'dialer' | 'signal'>
): Promise<Kernel> {
  return await startKernel({ ...options, settings, plugins: ['failover', 'operators'] })
}
