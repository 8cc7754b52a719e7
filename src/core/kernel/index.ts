/**
 * The kernel: starts the plug-ins of a process in the order their needs demand, and closes them in the
 * reverse order. Plug-ins register themselves when their module is imported.
 */
import { formatFields, type Logger } from '../logger/index.ts'
import type { Dialer } from '../wire/dialer.ts'

/**
 * What plug-ins offer each other, by plug-in name. Each plug-in adds its own line by declaration merging.
 *
 * @public
 */
export interface Services {}

/** Name of a plug-in. */
type PluginName = keyof Services & string

/** What a plug-in is given when it starts. */
export interface PluginContext {
  /** Checked settings of the process; the plug-in reads the part it knows. */
  settings: unknown
  logger: Logger
  /** Opens every outgoing connection of the process. */
  dialer: Dialer
  /** Aborts when the process has been told to stop. */
  stopping: AbortSignal
  /**
   * Returns the service of a started plug-in.
   *
   * @param name - its name, which must be among the plug-in's needs
   */
  use: <Name extends PluginName>(name: Name) => Services[Name]
  /** State of every plug-in of the process. */
  dump: () => Record<string, unknown>
}

/** A running plug-in. */
interface RunningPlugin<Service> {
  service: Service
  /** Announces to other processes that this one is about to stop; called for all plug-ins before any of them drains. */
  announceStop?: () => void
  /** Finishes work in flight before the process closes; called in order while everything still runs. */
  drain?: () => Promise<void>
  /** Frees everything the plug-in holds. */
  close?: () => Promise<void> | void
  /** State for a dump. */
  dump?: () => unknown
}

/** A plug-in: a named part of a process. */
interface Plugin<Name extends PluginName = PluginName> {
  name: Name
  dependencies: PluginName[]
  start: (context: PluginContext) => Promise<RunningPlugin<Services[Name]>> | RunningPlugin<Services[Name]>
}

/** A running process part: the started plug-ins. */
export interface Kernel {
  use: <Name extends PluginName>(name: Name) => Services[Name]
  /** State of every plug-in. */
  dump: () => Record<string, unknown>
  /** Planned stop: drains, then closes. */
  stop: () => Promise<void>
  /** Unplanned stop: closes at once. */
  close: () => Promise<void>
}

/** Options of {@link startKernel}. */
export interface KernelOptions {
  plugins: PluginName[]
  settings: unknown
  logger: Logger
  dialer: Dialer
}

const registry = new Map<string, Plugin>()

/**
 * Registers a plug-in under its name.
 *
 * @param plugin - the plug-in
 */
export function registerPlugin<Name extends PluginName> (plugin: Plugin<Name>): void {
  registry.set(plugin.name, plugin as unknown as Plugin)
}

/**
 * Starts plug-ins with everything they need.
 *
 * @param options - the wanted plug-ins and what they share
 * @returns the running kernel
 */
export async function startKernel (options: KernelOptions): Promise<Kernel> {
  const running = new Map<string, RunningPlugin<unknown>>()
  const stopper = new AbortController()
  const use = <Name extends PluginName>(name: Name): Services[Name] => {
    const plugin = running.get(name)
    if (plugin === undefined) {
      throw new Error(`plug-in ${name} is used but not among the needs`)
    }
    return plugin.service as Services[Name]
  }
  const dump = (): Record<string, unknown> =>
    Object.fromEntries([...running].map(([name, plugin]) => [name, plugin.dump?.() ?? {}]))
  const context: PluginContext = { ...options, stopping: stopper.signal, use, dump }
  const close = async (): Promise<void> => {
    stopper.abort()
    for (const plugin of [...running.values()].reverse()) {
      await plugin.close?.()
    }
    running.clear()
  }
  try {
    for (const plugin of sortByNeeds(options.plugins)) {
      running.set(plugin.name, await plugin.start(context))
    }
  } catch (thrown) {
    await close()
    throw thrown
  }
  return {
    use,
    close,
    dump,
    stop: async () => {
      stopper.abort()
      running.forEach((plugin) => plugin.announceStop?.())
      for (const plugin of [...running.values()].reverse()) {
        await plugin.drain?.()
      }
      await close()
    }
  }
}

function sortByNeeds (wanted: PluginName[]): Plugin[] {
  const sorted: Plugin[] = []
  const visit = (name: PluginName, path: string[]): void => {
    const plugin = registry.get(name)
    if (plugin === undefined || path.includes(name)) {
      throw new Error(`cannot start plug-ins: ${formatFields({ name, path: path.join('>'), known: plugin !== undefined })}`)
    }
    if (!sorted.includes(plugin)) {
      plugin.dependencies.forEach((need) => visit(need, [...path, name]))
      sorted.push(plugin)
    }
  }
  wanted.forEach((name) => visit(name, []))
  return sorted
}
