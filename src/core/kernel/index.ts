/**
 * The kernel: starts the plug-ins of a process in dependency order and closes them in the reverse order. Plug-ins
 * register themselves when their module is imported.
 */
import { formatFields, type Logger } from '../logger/index.ts'
import { createStepLog, runSilently, type StepRunner } from './step-log.ts'
import type { Dialer } from '../wire/dialer.ts'

/**
 * Services of plug-ins, by plug-in name. Each plug-in adds its own entry by declaration merging.
 *
 * @public
 */
export interface Services {}

type PluginName = keyof Services & string

/** Context passed to a plug-in at startup. */
export interface PluginContext {
  /** Validated settings of the process; each plug-in casts them to the type it uses. */
  settings: unknown
  logger: Logger
  /** Opens the outgoing connections of the process. */
  dialer: Dialer
  /** Aborted when the process begins to stop. */
  stopping: AbortSignal
  /**
   * Returns the service of a started plug-in.
   *
   * @param name - name of the plug-in, which must be a dependency
   */
  use: <Name extends PluginName>(name: Name) => Services[Name]
  /** Returns the state of all plug-ins, for diagnostics. */
  dump: () => Record<string, unknown>
}

/** A running plug-in. */
interface RunningPlugin<Service> {
  service: Service
  /** Tells other processes that this one is stopping; called on all plug-ins before any of them drains. */
  announceStop?: () => void
  /**
   * Completes work in progress while all plug-ins still run; called in reverse order of startup.
   *
   * @param stopRequestedAt - beginning of the stop, on the monotonic clock, in milliseconds
   */
  drain?: (stopRequestedAt: number) => Promise<void>
  /**
   * Releases the resources of the plug-in. Called on all plug-ins in reverse order of startup, without waiting for
   * those before; nothing is in progress any more.
   */
  close?: () => Promise<void> | void
  /** Returns the state of the plug-in, for diagnostics. */
  dump?: () => unknown
}

/** A plug-in: a named part of a process. */
interface Plugin<Name extends PluginName = PluginName> {
  name: Name
  dependencies: PluginName[]
  start: (context: PluginContext) => Promise<RunningPlugin<Services[Name]>> | RunningPlugin<Services[Name]>
}

/** The running plug-ins of a process. */
export interface Kernel {
  use: <Name extends PluginName>(name: Name) => Services[Name]
  /** Returns the state of all plug-ins, for diagnostics. */
  dump: () => Record<string, unknown>
  /**
   * Stops gracefully: drains the plug-ins, then closes them.
   *
   * @param requestedAt - beginning of the stop, on the monotonic clock, in milliseconds; now by default
   */
  stop: (requestedAt?: number) => Promise<void>
  /** Closes the plug-ins without draining them. */
  close: () => Promise<void>
}

/** Options of {@link startKernel}. */
export interface KernelOptions {
  plugins: PluginName[]
  settings: unknown
  logger: Logger
  dialer: Dialer
  /** When aborted, no further plug-in is started. */
  signal?: AbortSignal
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
 * Starts plug-ins and their dependencies.
 *
 * @param options - the plug-ins and their shared context
 * @returns the running kernel; it lacks plug-ins if the start was aborted
 */
export async function startKernel (options: KernelOptions): Promise<Kernel> {
  const running = new Map<string, RunningPlugin<unknown>>()
  const stopController = new AbortController()
  const use = <Name extends PluginName>(name: Name): Services[Name] => {
    const plugin = running.get(name)
    if (plugin === undefined) {
      throw new Error(`plug-in ${name} is used but is not a declared dependency`)
    }
    return plugin.service as Services[Name]
  }
  const dump = (): Record<string, unknown> =>
    Object.fromEntries([...running].map(([name, plugin]) => [name, plugin.dump?.() ?? {}]))
  const context: PluginContext = { ...options, stopping: stopController.signal, use, dump }
  const inReverse = (): Array<[string, RunningPlugin<unknown>]> => [...running].reverse()
  const close = async (runStep: StepRunner = runSilently): Promise<void> => {
    stopController.abort()
    const closing = inReverse().map(async ([name, plugin]) =>
      await runStep(`close ${name}`, async () => await plugin.close?.()))
    await Promise.all(closing)
    running.clear()
  }
  try {
    for (const plugin of sortByDependencies(options.plugins)) {
      if (options.signal?.aborted === true) {
        break
      }
      running.set(plugin.name, await plugin.start(context))
    }
  } catch (thrown) {
    await close()
    throw thrown
  }
  return {
    use,
    close: async () => await close(),
    dump,
    stop: async (requestedAt = performance.now()) => {
      const runStep = createStepLog(options.logger, requestedAt)
      stopController.abort()
      running.forEach((plugin) => plugin.announceStop?.())
      for (const [name, plugin] of inReverse()) {
        await runStep(`drain ${name}`, async () => await plugin.drain?.(requestedAt))
      }
      await close(runStep)
    }
  }
}

/** Sorts plug-ins topologically; throws on unknown plug-ins and dependency cycles. */
function sortByDependencies (requested: PluginName[]): Plugin[] {
  const sorted: Plugin[] = []
  const visit = (name: PluginName, path: string[]): void => {
    const plugin = registry.get(name)
    if (plugin === undefined || path.includes(name)) {
      throw new Error(`cannot start plug-ins: ${formatFields({ name, path: path.join('>'), known: plugin !== undefined })}`)
    }
    if (!sorted.includes(plugin)) {
      plugin.dependencies.forEach((dependency) => visit(dependency, [...path, name]))
      sorted.push(plugin)
    }
  }
  requested.forEach((name) => visit(name, []))
  return sorted
}
