/** Assembles the plug-ins of the process `worksward-proxy`. */
import './callers/index.ts'
import './configuration/index.ts'
import './membership/index.ts'
import '../metrics/index.ts'
import './operators/console.ts'
import './operators/index.ts'
import '../peers/index.ts'
import './storage/index.ts'
import './routing/index.ts'
import type { ProxySettings } from '../core/config/index.ts'
import { startKernel, type Kernel, type KernelOptions } from '../core/kernel/index.ts'

/**
 * Starts a proxy.
 *
 * @param settings - settings of the proxy
 * @param options - logger, dialer and the signal to stop of the process
 * @returns the running kernel
 */
export async function startProxy (
  settings: ProxySettings, options: Pick<KernelOptions, 'logger' | 'dialer' | 'signal'>
): Promise<Kernel> {
  return await startKernel({ ...options, settings, plugins: ['callers', 'console'] })
}
